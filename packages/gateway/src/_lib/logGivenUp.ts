/** Logs and counts answers of back ends that were given up. */
import type * as types from '@switchridge/types'
import type * as sendAttempt from '../sendAttempt/index.js'
import type * as callOptions from './callOptions.js'

/** Why an answer was given up: what arrived was no answer, or was too large, or there was no memory for it. */
export type GivenUpReason = sendAttempt.Violation | 'answer-too-large' | 'event-too-large' | 'framing-too-large' | 'stream-too-fast' | 'no-memory'

/** An answer that was given up. */
export interface GivenUpAnswer {
  /** Request id of the call. */
  readonly id: string
  readonly backEnd: types.NodeId
  readonly reason: GivenUpReason
  /** What had arrived; null if it wasn't counted. */
  readonly received: sendAttempt.ReceivedCounts | null
}

/**
 * Logs and counts an answer that was given up.
 *
 * @param answer - The answer.
 * @param options - Logger and counters.
 */
export function logGivenUp ({ id, backEnd, reason, received }: GivenUpAnswer, options: Pick<callOptions.CallHandlerOptions, 'count' | 'logger'>): void {
  options.count('answers_given_up', { reason })
  options.logger.warn('answer-given-up', { id, backEnd, reason, bytes: received?.bytes, chunks: received?.chunks })
}
