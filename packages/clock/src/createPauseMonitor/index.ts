/** Records the times for which this process did not run, so that others can tell how old what they learned before is. */

/** Options of {@link createPauseMonitor}. */
export interface PauseMonitorOptions {
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Called after each pause with its duration in milliseconds. */
  readonly onPause: (pausedMs: number) => void
}

/** The recent pauses of a process. */
export interface PauseMonitor {
  /** Milliseconds for which the process was paused since a time of the clock; pauses longer ago than {@link PAUSES_KEPT_MS} are not counted. */
  readonly pausedMsSince: (time: number) => number
  readonly stop: () => void
}

interface Pause {
  readonly endedAt: number
  readonly pausedMs: number
}

const CHECK_INTERVAL_MS = 100
/** Longer than the delays of the check timer in a process that is merely busy. */
const PAUSE_MINIMUM_MS = 300
/** Time for which a pause is remembered. */
export const PAUSES_KEPT_MS = 60_000

/**
 * Creates the monitor. It detects a pause by its own timer, or when it is first read after the pause.
 *
 * @param options - Clock and listener.
 * @returns The monitor; its timer does not keep the process running.
 */
export function createPauseMonitor ({ now, onPause }: PauseMonitorOptions): PauseMonitor {
  let checkedAt = now()
  let pauses: Pause[] = []

  function check (): void {
    const current = now()
    const pausedMs = current - checkedAt
    checkedAt = current
    if (pausedMs < PAUSE_MINIMUM_MS) return
    pauses = [...pauses.filter(({ endedAt }) => endedAt > current - PAUSES_KEPT_MS), { endedAt: current, pausedMs }]
    onPause(pausedMs)
  }

  const timer = setInterval(check, CHECK_INTERVAL_MS)
  timer.unref()
  return {
    pausedMsSince: (time) => {
      check()
      return pauses.reduce((sum, { endedAt, pausedMs }) => sum + Math.max(0, Math.min(pausedMs, endedAt - time)), 0)
    },
    stop: () => { clearInterval(timer) }
  }
}
