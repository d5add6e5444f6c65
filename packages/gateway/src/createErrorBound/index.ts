/** Learns from calls just served how much later than predicted first events come. */

/** What is learned for one service. */
export interface ErrorBound {
  /** Milliseconds by which at most 15 in 100 calls begin later than predicted. */
  readonly read: () => number
  /** Notes a call that began, or was given up so long after it was sent. */
  readonly note: (predictedMs: number, firstEventMs: number) => void
}

/** Part of the calls that may be later than the bound: a late answer is worth a quarter of one in time, so beyond that a refusal is the better answer. */
const LATER_PART = 0.15
/** Milliseconds that one call moves the bound at most; at ten calls a second a gateway follows a queue of 300 ms within two seconds. */
const STEP_MS = 25
/**
 * A gateway of a large fleet serves fewer calls and takes larger steps, so that it follows as soon: calls that come further apart count as this many at most.
 */
const USUAL_GAP_MS = 100
const GAP_MAXIMUM = 3
/** More than any target: the bound then keeps out all but what goes to engines with room. */
const MAXIMUM_MS = 1000
/**
 * A gateway that refuses all has nothing to learn from: after so long without a call the bound falls, and calls are tried again within seconds. Sooner, many
 * of them would be late.
 */
const QUIET_MS = 500
/** Milliseconds that it falls in each one. */
const FALL_PER_MS = 0.1

/**
 * Creates the bound, 0 at first. It follows a quantile of the errors: each call that was later moves it up by nearly six times as much as one that was not moves it down.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The bound.
 */
export function createErrorBound (now: () => number): ErrorBound {
  let boundMs = 0
  let notedAt = now()

  function read (): number {
    return Math.max(0, boundMs - FALL_PER_MS * Math.max(0, now() - notedAt - QUIET_MS))
  }

  return {
    read,
    note: (predictedMs, firstEventMs) => {
      const before = read()
      const isLater = firstEventMs - predictedMs > before
      const stepMs = STEP_MS * Math.min(GAP_MAXIMUM, Math.max(1, (now() - notedAt) / USUAL_GAP_MS))
      boundMs = Math.min(MAXIMUM_MS, Math.max(0, before + stepMs * (isLater ? 1 - LATER_PART : -LATER_PART)))
      notedAt = now()
    }
  }
}
