/** A time limit that changes while others rely on it. */

/** Sets the limit in milliseconds. */
export type SetTimeLimit = (limitMs: number) => void

/**
 * Creates a limit. A longer limit comes into force at once, a shorter one when the time of the longer one has passed, since what began under it may take that time.
 *
 * @param apply - Called with each limit that comes into force, in milliseconds.
 * @returns A function that sets the limit.
 */
export function createTimeLimit (apply: (limitMs: number) => void): SetTimeLimit {
  let currentMs = 0
  let newestMs = 0
  let timer: NodeJS.Timeout | undefined

  function bringIntoForce (): void {
    currentMs = newestMs
    apply(currentMs)
  }

  return (limitMs) => {
    if (limitMs === newestMs) return
    newestMs = limitMs
    clearTimeout(timer)
    if (limitMs >= currentMs) bringIntoForce()
    else timer = setTimeout(bringIntoForce, currentMs).unref()
  }
}
