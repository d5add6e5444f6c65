/** Estimates from recent calls how much later than predicted first events arrive. */

/** The estimate for one service. */
export interface ErrorBound {
  /** Bound in milliseconds that at most about 15 in 100 calls exceed in arriving later than predicted. */
  readonly read: () => number
  /** Records a call: the prediction, and when it began or was abandoned, both in milliseconds after it was sent. */
  readonly note: (predictedMs: number, firstEventMs: number) => void
}

/** Fraction of calls that may exceed the bound. A late response is worth a quarter of one in time, so beyond that fraction a refusal is better. */
const EXCEEDING_FRACTION = 0.15
/** Largest change per call in milliseconds at the typical call rate; at ten calls a second a gateway adapts to a queue of 300 ms within two seconds. */
const STEP_MS = 25
/**
 * A gateway in a large fleet serves fewer calls, so it takes larger steps in order to adapt as fast: the step grows with the time since the last call,
 * relative to this gap and up to this factor.
 */
const TYPICAL_CALL_GAP_MS = 100
const STEP_FACTOR_MAXIMUM = 3
/** Above any target, so that at this bound only calls to engines with free slots are admitted. */
const MAXIMUM_MS = 1000
/**
 * A gateway that refuses every call learns nothing. After this time without a call the bound decays, so that calls are tried again within seconds; if it
 * decayed sooner, many of them would be late.
 */
const DECAY_DELAY_MS = 500
/** Decay of the bound, in milliseconds per millisecond. */
const DECAY_PER_MS = 0.1

/**
 * Creates the bound, initially 0. It tracks a quantile of the prediction errors: each call above the bound raises it by nearly six times as much as each
 * call below lowers it.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The bound.
 */
export function createErrorBound (now: () => number): ErrorBound {
  let boundMs = 0
  let lastCallAt = now()

  function read (): number {
    return Math.max(0, boundMs - DECAY_PER_MS * Math.max(0, now() - lastCallAt - DECAY_DELAY_MS))
  }

  return {
    read,
    note: (predictedMs, firstEventMs) => {
      const before = read()
      const exceedsBound = firstEventMs - predictedMs > before
      const stepMs = STEP_MS * Math.min(STEP_FACTOR_MAXIMUM, Math.max(1, (now() - lastCallAt) / TYPICAL_CALL_GAP_MS))
      boundMs = Math.min(MAXIMUM_MS, Math.max(0, before + stepMs * (exceedsBound ? 1 - EXCEEDING_FRACTION : -EXCEEDING_FRACTION)))
      lastCallAt = now()
    }
  }
}
