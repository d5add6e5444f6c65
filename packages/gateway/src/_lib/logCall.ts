/** Logs and counts each call when it ends. */
import * as types from '@switchridge/types'
import type * as callOptions from './callOptions.js'
import * as callState from './callState.js'

/**
 * How a call ended. `answered`: with a back end's response, `left`: the caller disconnected first, `refused`: the call was not run, `failed`: it may have run, or its
 * stream was truncated, `expired`: its deadline passed after it may have run.
 */
export type Ending = 'answered' | 'left' | 'refused' | 'failed' | 'expired'

/** The end of a call. */
export interface CallEnd {
  readonly ending: Ending
  /** The back end of the last attempt; empty if there was none. */
  readonly backEnd: string
  /** Version of the weights that served the call; null if none did. */
  readonly version: number | null
  /** Why the call was not answered, or why its last failed attempt failed. */
  readonly reason: string
  /** Whether the call was refused because calls with its fingerprint crashed back ends. */
  readonly isBlocked: boolean
}

/**
 * Logs and counts a call that has ended.
 *
 * @param call - The call.
 * @param end - How it ended.
 * @param options - Logger, counters and clock.
 */
export function logCall (call: callState.CallState, end: CallEnd, options: Pick<callOptions.CallHandlerOptions, 'count' | 'observe' | 'logger' | 'now'>): void {
  const elapsedMs = Math.round(options.now() - call.receivedAt)
  const firstEventMs = call.firstEventAt === null ? null : Math.round(call.firstEventAt - call.receivedAt)
  options.count('calls', { ending: end.ending })
  options.count('calls_by_size', { route: call.route.name, size: call.sized.sizeClass, ending: end.ending })
  const uploadMs = Math.round(call.completeAt - call.receivedAt)
  options.observe('call_upload', uploadMs)
  if (end.isBlocked) options.count('calls_blocked', { service: call.service })
  options.observe('call', elapsedMs)
  if (call.firstEventAt !== null && call.firstSentAt !== null && call.predictedMs !== null) options.observe('prediction_error', Math.abs(call.firstEventAt - call.firstSentAt - call.predictedMs))
  if (call.hasUnframedAnswer) options.count('answers_unframed', { service: call.service })
  options.logger.info('call', {
    id: call.head.requestId,
    route: call.route.name,
    service: call.service,
    backEnd: end.backEnd,
    attempts: call.attempts,
    ending: end.ending,
    ms: elapsedMs,
    promptTokens: call.head.promptTokens,
    bodyBytes: call.body?.length ?? 0,
    size: call.sized.sizeClass,
    uploadMs,
    predictedMs: call.predictedMs,
    predictedReadMs: call.predictedReadMs,
    firstEventMs,
    waitedMs: call.wait?.ms,
    place: call.wait?.place,
    version: end.version,
    framed: call.hasUnframedAnswer ? false : undefined,
    fingerprint: end.isBlocked ? call.fingerprint() : undefined,
    parts: end.isBlocked ? callState.describeParts(call) : undefined,
    reason: end.ending === 'answered' ? undefined : end.reason
  })
}

/**
 * Logs and counts a call whose handling threw.
 *
 * @param id - Request id; empty if unknown.
 * @param thrown - What was thrown.
 * @param options - Logger and counters.
 */
export function logBroken (id: string, thrown: unknown, options: Pick<callOptions.CallHandlerOptions, 'count' | 'logger'>): void {
  options.count('calls_broken')
  options.logger.error('call-broken', { id, error: types.describeError(thrown) })
}

/**
 * Logs and counts an attempt whose sending or handling threw. The call may go on elsewhere.
 *
 * @param id - Request id of the call.
 * @param backEnd - The back end.
 * @param thrown - What was thrown.
 * @param options - Logger and counters.
 */
export function logAttemptError (id: string, backEnd: types.NodeId, thrown: unknown, options: Pick<callOptions.CallHandlerOptions, 'count' | 'logger'>): void {
  options.count('attempt_errors')
  options.logger.error('attempt-error', { id, backEnd, error: types.describeError(thrown) })
}
