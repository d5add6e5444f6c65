/** Decides whether a call is admitted now, or refused at once with a time to retry. */

/** Input of the decision. */
export interface AdmissionInput {
  /** Predicted milliseconds until the first event at the best back end; long prompts are discounted, so that they are admitted under load too. */
  readonly firstEventMs: number
  /** Requests that would be queued there before this one. */
  readonly queuedAhead: number
  /** Occupied fraction of the slots of all back ends that may serve the call; queued requests count. */
  readonly utilization: number
  /** Milliseconds by which recent calls began later than predicted. */
  readonly errorMs: number
  /** Milliseconds within which the first event counts as in time; the same for all calls that compete for slots with equal priority. */
  readonly targetMs: number
  /** Milliseconds since the caller's first try. */
  readonly elapsedMs: number
  /** Milliseconds until the call's deadline. */
  readonly remainingMs: number
  /** Random number from 0 to 1; spreads the retries of callers. */
  readonly random: number
}

/** Admitted, or refused with a time to retry. */
export type Admission =
  /** `isContended`: whether so few slots of all back ends are free that a prediction for one of them is uncertain. */
  | { readonly isAdmitted: true, readonly isContended: boolean }
  /** `retryAfterMs`: milliseconds after which the caller may retry. */
  | { readonly isAdmitted: false, readonly retryAfterMs: number }

/**
 * Below this utilization any call is admitted that would not be queued: whatever makes calls late then passes, and a refusal would waste free slots. The
 * slots of all back ends count, not those of the chosen one: reports are old, so in a large fleet some engine always appears half empty, and all
 * gateways would send their calls there.
 */
const LOW_UTILIZATION = 0.5
/**
 * From this utilization on, a back end that reports show as free is likely to have been chosen by other gateways as well. Below it, a slot that one back end refuses is mostly free at
 * another one, and a refusal would turn away a call that could be in time.
 */
const CONTENDED_UTILIZATION = 0.85
/**
 * Range of the retry time for a caller that may still be served in time: another gateway, or the next report, may know of a free slot. The target counts
 * from the first try, so a longer pause would make the response late.
 */
const TIMELY_RETRY_MINIMUM_MS = 60
const TIMELY_RETRY_MAXIMUM_MS = 150
/** Range of the retry time for a caller that will be late in any case; by then the queue may have drained. */
const LATE_RETRY_MINIMUM_MS = 250
const LATE_RETRY_MAXIMUM_MS = 1500
const JITTER_FRACTION = 0.5
/** The retry time is at most this fraction of the time left until the deadline. */
const REMAINING_FRACTION = 0.3

/**
 * Decides on a call before its first attempt.
 *
 * @param input - Prediction, target and time left.
 * @returns Whether the call is admitted, or when the caller may retry.
 */
export function decideAdmission (input: AdmissionInput): Admission {
  const isUncontended = input.queuedAhead === 0 && input.utilization < LOW_UTILIZATION
  if (isUncontended || input.firstEventMs + input.errorMs <= input.targetMs) return { isAdmitted: true, isContended: isContended(input.utilization) }
  return { isAdmitted: false, retryAfterMs: computeRetryAfterMs(input) }
}

/** Returns whether so few slots of all back ends are free that calls compete for them. */
export function isContended (utilization: number): boolean {
  return utilization >= CONTENDED_UTILIZATION
}

/** Computes the milliseconds after which a slot may be free, short enough for a response in time while that is possible. */
export function computeRetryAfterMs (input: AdmissionInput): number {
  const timelyRetryMs = TIMELY_RETRY_MINIMUM_MS + (TIMELY_RETRY_MAXIMUM_MS - TIMELY_RETRY_MINIMUM_MS) * input.random
  const canMeetTarget = input.elapsedMs + timelyRetryMs < input.targetMs
  const retryMs = canMeetTarget ? timelyRetryMs : computeLateRetryMs(input)
  return Math.round(Math.min(retryMs, input.remainingMs * REMAINING_FRACTION))
}

function computeLateRetryMs ({ firstEventMs, errorMs, targetMs, random }: AdmissionInput): number {
  const lateMs = Math.max(LATE_RETRY_MINIMUM_MS, firstEventMs + errorMs - targetMs)
  return Math.min(LATE_RETRY_MAXIMUM_MS, lateMs * (1 + JITTER_FRACTION * random))
}
