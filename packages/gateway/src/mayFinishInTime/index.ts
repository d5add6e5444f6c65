/** Decides whether a draining gateway takes on a call, or sends it to a back end. */

/** Bounds of a drain, as monotonic times in milliseconds. */
export interface DrainBounds {
  /** Until then the load balancer may still send new connections here. */
  readonly balancedUntil: number
  /** Calls that are still in progress are ended then. */
  readonly endsAt: number
}

/** What is known of the time that a call takes. */
export interface DrainingCall {
  /** Monotonic time in milliseconds at which its request was complete; now if it isn't yet. */
  readonly requestedAt: number
  /** Monotonic time in milliseconds at which its route or its caller ends it. */
  readonly deadlineAt: number
  /** Milliseconds that a back end is expected to take; null if unknown. */
  readonly expectedMs: number | null
}

/**
 * Decides on a call. Later than {@link DrainBounds.balancedUntil} only calls over kept connections arrive, whose callers reach another gateway at once.
 *
 * @param bounds - Bounds of the drain.
 * @param call - The call.
 * @param now - Monotonic time in milliseconds.
 * @returns Whether its deadline is within the drain, or it was requested early and is expected to be answered within the drain.
 */
export function mayFinishInTime ({ balancedUntil, endsAt }: DrainBounds, { requestedAt, deadlineAt, expectedMs }: DrainingCall, now: number): boolean {
  if (deadlineAt <= endsAt) return true
  return requestedAt <= balancedUntil && expectedMs !== null && now + expectedMs <= endsAt
}
