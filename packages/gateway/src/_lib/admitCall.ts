/** Decides whether a call is admitted, from the predictions and loads that the gateway currently has. */
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import * as decideAdmission from '../decideAdmission/index.js'
import type * as callOptions from './callOptions.js'
import * as callState from './callState.js'

/** The decision, with the figures for a request for a slot, and for a refusal if no agent grants one. */
export interface CallAdmission {
  readonly isAdmitted: boolean
  /** Whether so few slots of all back ends are free that the prediction is uncertain. */
  readonly isContended: boolean
  /** Milliseconds after which the caller may retry. */
  readonly retryAfterMs: number
  /** Milliseconds within which the first event would still be in time, not counting the time in which the call's body arrived; negative for a call that is late already. */
  readonly withinMs: number
  /** The figures behind the decision. */
  readonly reason: string
}

/**
 * Decides whether a call is admitted to the best back end.
 *
 * @param call - The call, before its first attempt.
 * @param choice - The best back end.
 * @param utilization - Occupied fraction of the slots of all back ends that may serve.
 * @param options - Prediction errors, shared targets, clock and random numbers.
 * @returns The decision.
 */
export function admitCall (call: callState.CallState, choice: chooseBackEnd.Choice, utilization: number, options: Pick<callOptions.CallHandlerOptions, 'errorBoundOf' | 'sharedTargetOf' | 'now' | 'random'>): CallAdmission {
  const now = options.now()
  const input = {
    firstEventMs: choice.discountedFirstEventMs,
    queuedAhead: choice.queuedAhead,
    utilization,
    errorMs: options.errorBoundOf(call.service).read(),
    targetMs: options.sharedTargetOf({ service: call.service, priority: call.route.priority, targetMs: call.route.targetMs, hasModel: call.head.model !== null }, decideAdmission.isContended(utilization)),
    elapsedMs: callState.readElapsedMs(call, now),
    remainingMs: call.deadline.remainingMs(),
    random: options.random()
  }
  const admission = decideAdmission.decideAdmission(input)
  return {
    isAdmitted: admission.isAdmitted,
    isContended: admission.isAdmitted && admission.isContended,
    retryAfterMs: admission.isAdmitted ? decideAdmission.computeRetryAfterMs(input) : admission.retryAfterMs,
    withinMs: input.targetMs - callState.readElapsedWithoutUploadMs(call, now),
    reason: describeFigures(input)
  }
}

function describeFigures ({ firstEventMs, errorMs, targetMs, utilization }: decideAdmission.AdmissionInput): string {
  return `first event in ${Math.round(firstEventMs)} ms, lately up to ${Math.round(errorMs)} ms later, target ${Math.round(targetMs)} ms, ${utilization.toFixed(2)} of all places taken`
}
