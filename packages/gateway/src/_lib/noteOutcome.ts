/** What a gateway learns from an attempt that has ended. */
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as callOptions from './callOptions.js'
import type * as callState from './callState.js'
import type * as runAttempt from './runAttempt.js'

/**
 * Notes how a back end did, and logs an attempt that failed.
 *
 * @param call - The call.
 * @param choice - The back end.
 * @param outcome - How the attempt ended.
 * @param options - Records, log and counters.
 */
export function noteOutcome (call: callState.CallState, choice: chooseBackEnd.Choice, outcome: runAttempt.AttemptOutcome, options: Pick<callOptions.CallHandlerOptions, 'book' | 'count' | 'logger'>): void {
  const { id } = choice.backEnd
  options.count('attempts', { outcome: outcome.kind })
  if (outcome.kind === 'done') options.book.noteSuccess(id)
  else if (outcome.kind === 'not-run' && outcome.isGone) options.book.noteGone(id)
  else if (outcome.kind === 'not-run') options.book.noteFull(id)
  else if (outcome.kind !== 'failed-answer') options.book.noteFailure(id)
  if (outcome.kind === 'done') return
  const fingerprint = outcome.kind === 'broken' ? call.fingerprint() : undefined
  options.logger.info('attempt-failed', { id: call.head.requestId, backEnd: id, outcome: outcome.kind, reason: outcome.reason, fingerprint })
}

/**
 * Learns from a first attempt that was given up before it began: if that was late, it counts as one that began then.
 *
 * @param call - The call.
 * @param options - What is learned of predictions, and the clock.
 */
export function noteNotBegun (call: callState.CallState, options: Pick<callOptions.CallHandlerOptions, 'errorsOf' | 'now'>): void {
  const elapsedMs = options.now() - call.receivedAt
  if (call.attempts === 1 && call.predictedMs !== null && elapsedMs > call.route.targetMs) options.errorsOf(call.service).note(call.predictedMs, elapsedMs)
}
