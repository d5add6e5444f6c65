/** A time limit that changes while others rely on it. */
import * as clock from '@switchridge/clock'

/** Sets the limit in milliseconds. */
export type SetTimeLimit = (limitMs: number) => void

/**
 * Creates a limit. A longer limit comes into force at once, a shorter one when the time of each longer one has passed since that was replaced, since what began under it may
 * take that time.
 *
 * @param apply - Called with each limit that comes into force, in milliseconds.
 * @returns A function that sets the limit.
 */
export function createTimeLimit (apply: (limitMs: number) => void): SetTimeLimit {
  let currentMs = 0
  let newestMs = 0
  const replacedLimits: number[] = []

  function applyLongest (): void {
    const longestMs = Math.max(newestMs, ...replacedLimits)
    if (longestMs === currentMs) return
    currentMs = longestMs
    apply(currentMs)
  }

  return (limitMs) => {
    if (limitMs === newestMs) return
    const replacedMs = newestMs
    replacedLimits.push(replacedMs)
    setTimeout(() => {
      replacedLimits.splice(replacedLimits.indexOf(replacedMs), 1)
      applyLongest()
    }, Math.min(replacedMs, clock.LONGEST_TIMER_MS)).unref()
    newestMs = limitMs
    applyLongest()
  }
}
