/** Deadline of a call's final response. */

/** A deadline on the monotonic clock. */
export interface Deadline {
  /** Monotonic time in milliseconds. */
  readonly at: number
  /** Milliseconds until the deadline; 0 once it has passed. */
  readonly remainingMs: () => number
}

/**
 * Creates a deadline.
 *
 * @param at - Monotonic time in milliseconds.
 * @param now - Monotonic clock in milliseconds.
 * @returns The deadline.
 */
export function createDeadline (at: number, now: () => number): Deadline {
  return { at, remainingMs: () => Math.max(0, at - now()) }
}
