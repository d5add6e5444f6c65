/** Decides whether a call is taken now, or refused at once with a time to come back. */

/** What the decision depends on. */
export interface AdmissionInput {
  /** Predicted milliseconds until the first event at the best back end; long prompts evened out, so that they are taken under load, too. */
  readonly firstEventMs: number
  /** Requests that would wait there before this one. */
  readonly waitingBefore: number
  /** Requests that run or wait there. */
  readonly occupied: number
  /** Requests that it runs at a time. */
  readonly slots: number
  /** Milliseconds by which calls just served began later than predicted. */
  readonly errorMs: number
  /** Milliseconds within which the first event is in time. */
  readonly targetMs: number
  /** Milliseconds until the call must end. */
  readonly remainingMs: number
  /** Random number from 0 to 1; spreads the callers that come back. */
  readonly random: number
}

/** Taken, or refused until later. */
export type Admission =
  | { readonly isTaken: true }
  | { readonly isTaken: false, readonly retryAfterMs: number }

/** An engine with more than this part of its slots free takes any call: what makes calls late there passes, and a refusal would waste the room. */
const ROOM_PART = 0.5
const RETRY_MINIMUM_MS = 250
const RETRY_MAXIMUM_MS = 1500
const SPREAD_PART = 0.5
/** Callers come back at the latest after this part of the time that is left. */
const REMAINING_PART = 0.3

/**
 * Decides on a call before its first attempt.
 *
 * @param input - Prediction, target and time left.
 * @returns Whether it is taken, or when the caller may come back.
 */
export function decideAdmission (input: AdmissionInput): Admission {
  const hasRoom = input.waitingBefore === 0 && input.occupied < ROOM_PART * input.slots
  if (hasRoom || input.firstEventMs + input.errorMs <= input.targetMs) return { isTaken: true }
  return { isTaken: false, retryAfterMs: computeRetryAfter(input) }
}

/** Milliseconds after which the caller would probably be in time. */
function computeRetryAfter (input: AdmissionInput): number {
  const lateMs = Math.max(RETRY_MINIMUM_MS, input.firstEventMs + input.errorMs - input.targetMs)
  const spreadMs = lateMs * (1 + SPREAD_PART * input.random)
  return Math.round(Math.min(spreadMs, RETRY_MAXIMUM_MS, input.remainingMs * REMAINING_PART))
}
