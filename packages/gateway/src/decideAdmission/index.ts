/** Decides whether a call is taken now, or refused at once with a time to come back. */

/** What the decision depends on. */
export interface AdmissionInput {
  /** Predicted milliseconds until the first event at the best back end; long prompts evened out, so that they are taken under load, too. */
  readonly firstEventMs: number
  /** Requests that would wait there before this one. */
  readonly waitingBefore: number
  /** Part of the places taken at all back ends that may serve the call. */
  readonly takenPart: number
  /** Milliseconds by which calls just served began later than predicted. */
  readonly errorMs: number
  /** Milliseconds within which the first event is in time; the same for all calls that compete for a place with equal right. */
  readonly targetMs: number
  /** Milliseconds since the caller's first try. */
  readonly spentMs: number
  /** Milliseconds until the call must end. */
  readonly remainingMs: number
  /** Random number from 0 to 1; spreads the callers that come back. */
  readonly random: number
}

/** Taken, or refused until later. */
export type Admission =
  | { readonly isTaken: true }
  | { readonly isTaken: false, readonly retryAfterMs: number }

/**
 * While less of all places is taken, any call is taken that need not wait: what makes calls late then passes, and a refusal would waste the room. All places
 * count, not those of the chosen one: reports are old, so a large fleet always knows of an engine that was half empty, and all its gateways would
 * send there.
 */
const ROOM_PART = 0.5
/**
 * A caller that may still be in time comes back within these milliseconds: another gateway, or the next report, may know of a place. The target counts
 * from the first try, so a longer pause makes its answer late.
 */
const SOON_MINIMUM_MS = 60
const SOON_MAXIMUM_MS = 150
/** A caller that will be late anyway is told when the queue may have gone. */
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
  const hasRoom = input.waitingBefore === 0 && input.takenPart < ROOM_PART
  if (hasRoom || input.firstEventMs + input.errorMs <= input.targetMs) return { isTaken: true }
  return { isTaken: false, retryAfterMs: computeRetryAfter(input) }
}

/** Milliseconds after which a place may be free, soon enough for an answer in time while that is possible. */
function computeRetryAfter (input: AdmissionInput): number {
  const soonMs = SOON_MINIMUM_MS + (SOON_MAXIMUM_MS - SOON_MINIMUM_MS) * input.random
  const mayBeInTime = input.spentMs + soonMs < input.targetMs
  const retryMs = mayBeInTime ? soonMs : computeQueueGone(input)
  return Math.round(Math.min(retryMs, input.remainingMs * REMAINING_PART))
}

function computeQueueGone ({ firstEventMs, errorMs, targetMs, random }: AdmissionInput): number {
  const lateMs = Math.max(RETRY_MINIMUM_MS, firstEventMs + errorMs - targetMs)
  return Math.min(RETRY_MAXIMUM_MS, lateMs * (1 + SPREAD_PART * random))
}
