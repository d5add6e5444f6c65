/** Finds out for how long the engine beside an agent stays cold, by health checks. */

/** Options of {@link createColdChecks}. */
export interface ColdChecksOptions {
  /** Whether cold engines of the service are limited and have a health check; without it no check is sent. */
  readonly isEnabled: () => boolean
  /** Sends a health check; resolves with the milliseconds for which the engine stays cold, 0 if it is warm, or null if it did not answer. */
  readonly readColdRemainingMs: () => Promise<number | null>
  /** Called when the engine becomes cold, and when it stays cold for longer than known before. */
  readonly onCold: (remainingMs: number) => void
  /** Runs an action at a monotonic time in milliseconds; returns a function that cancels it. */
  readonly at: (time: number, action: () => void) => () => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The health checks of one agent. */
export interface ColdChecks {
  /** Starts checking, because the engine may be cold: it has started or come back, or a gateway believes that it is cold. */
  readonly noteMaybeCold: () => void
  /** Milliseconds for which the engine stays cold; null for a warm one. */
  readonly readColdMs: () => number | null
  readonly stop: () => void
}

/** A health check takes a slot of the engine, so one is sent at most this often. */
const CHECK_INTERVAL_MS = 1000
/** The last check of a cold engine is sent this long before it should become warm, in time to tell the gateways if it stays cold for longer. */
const LAST_CHECK_BEFORE_MS = 600
/** An engine that does not answer is checked this many times; it is checked again when its report shows that it came back. */
const MAXIMUM_UNANSWERED = 5
/** A later end counts as a longer coldness only from this difference on, since answers take a varying time. */
const EXTENSION_MINIMUM_MS = 50

/**
 * Creates the health checks. None is sent before {@link ColdChecks.noteMaybeCold} is called, and while the engine is cold only one before its coldness ends:
 * in between, an answer would change nothing.
 *
 * @param options - The check, its listener and clock.
 * @returns The checks.
 */
export function createColdChecks ({ isEnabled, readColdRemainingMs, onCold, at, now }: ColdChecksOptions): ColdChecks {
  let coldUntil = -Infinity
  let checkedAt = -Infinity
  let unanswered = 0
  let isChecking = false
  let isStopped = false
  let nextAt = Infinity
  let cancelNext = (): void => {}

  /** Schedules a check, unless an earlier one is scheduled; not before the interval since the last one is over. */
  function scheduleCheck (time: number): void {
    const checkAt = Math.max(time, checkedAt + CHECK_INTERVAL_MS)
    if (checkAt >= nextAt) return
    cancelNext()
    nextAt = checkAt
    cancelNext = at(checkAt, () => {
      nextAt = Infinity
      void check()
    })
  }

  async function check (): Promise<void> {
    if (isStopped || isChecking || !isEnabled()) return
    isChecking = true
    checkedAt = now()
    const remainingMs = await readColdRemainingMs()
    isChecking = false
    if (isStopped) return
    if (remainingMs === null) {
      unanswered += 1
      if (unanswered < MAXIMUM_UNANSWERED) scheduleCheck(now())
      return
    }
    unanswered = 0
    if (remainingMs === 0) return
    const until = now() + remainingMs
    if (until > coldUntil + EXTENSION_MINIMUM_MS) {
      coldUntil = until
      onCold(remainingMs)
    }
    if (coldUntil - LAST_CHECK_BEFORE_MS > now()) scheduleCheck(coldUntil - LAST_CHECK_BEFORE_MS)
  }

  return {
    noteMaybeCold: () => {
      if (isStopped || !isEnabled()) return
      unanswered = 0
      if (!isChecking) scheduleCheck(now())
    },
    readColdMs: () => coldUntil > now() ? coldUntil - now() : null,
    stop: () => {
      isStopped = true
      cancelNext()
    }
  }
}
