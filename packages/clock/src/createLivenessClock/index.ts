/**
 * A clock for judging how long others have been silent. It excludes the time in which this process did not run, since messages that arrived meanwhile
 * have not been read yet. It is not for deadlines, leases or version bounds, which run on while the process does not.
 */

/** Options of {@link createLivenessClock}. */
export interface LivenessClockOptions {
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Returns the milliseconds for which the clock stands still after a pause, so that others can be heard again. */
  readonly readRecoveryMs: () => number
  /** Called after each pause of this process with its duration in milliseconds. */
  readonly onPause: (pausedMs: number) => void
}

/** A clock that stands still while the process is paused, and for a while afterwards. */
export interface LivenessClock {
  /** Milliseconds; never goes back. */
  readonly now: () => number
  readonly stop: () => void
}

const CHECK_INTERVAL_MS = 100
/** Longer than the delays of the check timer in a process that is merely busy. */
const PAUSE_MINIMUM_MS = 300

/**
 * Creates the clock. It detects a pause by its own timer, or when it is first read after the pause.
 *
 * @param options - Clock, recovery time and listener.
 * @returns The clock; its timer does not keep the process running.
 */
export function createLivenessClock (options: LivenessClockOptions): LivenessClock {
  let checkedAt = options.now()
  let excludedMs = 0
  let recoveryEndsAt = -Infinity
  /** Time of this clock at which the last recovery ended. */
  let recoveredAt = -Infinity

  function now (): number {
    const current = options.now()
    const passedMs = current - checkedAt
    const isPause = passedMs >= PAUSE_MINIMUM_MS
    excludedMs += isPause ? passedMs : Math.max(0, Math.min(current, recoveryEndsAt) - checkedAt)
    checkedAt = current
    if (isPause) handlePause(current, passedMs)
    return current - excludedMs
  }

  /** Grants no recovery time to pauses in quick succession: a process that is paused again and again would never notice that others are gone. */
  function handlePause (current: number, pausedMs: number): void {
    const recoveryMs = options.readRecoveryMs()
    if (current - excludedMs - recoveredAt >= recoveryMs) {
      recoveryEndsAt = current + recoveryMs
      recoveredAt = current - excludedMs
    }
    options.onPause(pausedMs)
  }

  const timer = setInterval(now, CHECK_INTERVAL_MS)
  timer.unref()
  return { now, stop: () => { clearInterval(timer) } }
}
