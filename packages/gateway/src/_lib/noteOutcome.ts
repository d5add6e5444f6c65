/** Updates a gateway's records from attempts that have ended. */
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as callOptions from './callOptions.js'
import * as callState from './callState.js'
import type * as runAttempt from './runAttempt.js'

/**
 * Records the outcome of an attempt, and logs a failed one.
 *
 * @param call - The call.
 * @param choice - The back end.
 * @param outcome - How the attempt ended.
 * @param options - Back end records, logger and counters.
 * @param isFailureNoted - Whether the back end's records have this failure already.
 */
export function noteOutcome (call: callState.CallState, choice: chooseBackEnd.Choice, outcome: runAttempt.AttemptOutcome, options: Pick<callOptions.CallHandlerOptions, 'tracker' | 'count' | 'logger'>, isFailureNoted = false): void {
  const { id } = choice.backEnd
  options.count('attempts', { outcome: outcome.kind })
  if (outcome.kind === 'done') options.tracker.noteSuccess(id)
  else if (outcome.kind === 'not-run' && outcome.isGone) options.tracker.noteInstanceEnded(id)
  else if (outcome.kind === 'not-run') options.tracker.noteFull(id)
  else if (outcome.kind === 'broken' && outcome.isNoAnswer === true) options.tracker.noteNoAnswer(id)
  else if (outcome.kind !== 'failed-answer' && !isFailureNoted) options.tracker.noteFailure(id)
  if (outcome.kind === 'done') return
  const features = outcome.kind === 'broken' ? { fingerprint: call.fingerprint(), parts: callState.describeParts(call) } : {}
  options.logger.info('attempt-failed', { id: call.head.requestId, backEnd: id, outcome: outcome.kind, reason: outcome.reason, ...features })
}

/**
 * Counts and logs an attempt that was aborted because an earlier one, which had been silent, went on first. It says nothing about its back end.
 *
 * @param call - The call.
 * @param choice - The back end.
 * @param options - Logger and counters.
 */
export function noteOvertaken (call: callState.CallState, choice: chooseBackEnd.Choice, options: Pick<callOptions.CallHandlerOptions, 'count' | 'logger'>): void {
  options.count('attempts', { outcome: 'overtaken' })
  options.logger.info('attempt-overtaken', { id: call.head.requestId, backEnd: choice.backEnd.id })
}

/**
 * Records that a back end has brought no event in time while its attempt stays open: it is avoided for new calls, as after a failure.
 *
 * @param call - The call.
 * @param choice - The back end.
 * @param options - Back end records and logger.
 */
export function noteSilence (call: callState.CallState, choice: chooseBackEnd.Choice, options: Pick<callOptions.CallHandlerOptions, 'tracker' | 'logger'>): void {
  options.tracker.noteFailure(choice.backEnd.id)
  options.logger.info('attempt-silent', { id: call.head.requestId, backEnd: choice.backEnd.id })
}

/**
 * Records the prediction error of a first attempt that was silent for too long, or ended before anything of its response arrived. If it was already late, it counts as
 * having begun then.
 *
 * @param call - The call.
 * @param options - Prediction errors and clock.
 */
export function noteUnansweredAttempt (call: callState.CallState, options: Pick<callOptions.CallHandlerOptions, 'errorBoundOf' | 'now'>): void {
  if (call.firstSentAt !== null && options.now() - call.firstSentAt > call.route.targetMs) notePrediction(call, options)
}

/**
 * Records the prediction error of a call whose first attempt begins now; only the first record of a call counts.
 *
 * @param call - The call.
 * @param options - Prediction errors and clock.
 */
export function notePrediction (call: callState.CallState, options: Pick<callOptions.CallHandlerOptions, 'errorBoundOf' | 'now'>): void {
  if (call.isPredictionNoted || call.predictedMs === null || call.firstSentAt === null) return
  call.isPredictionNoted = true
  options.errorBoundOf(call.service).note(call.predictedMs, options.now() - call.firstSentAt)
}
