/** A timeout for the answer of a socket that allows for stalls of this process. */
import * as clock from '@switchridge/clock'

/** After a longer stall the peer may have closed the connection or ended, so that an earlier answer of it is of no use. */
const LONGEST_STALL_MS = 1500

/**
 * Starts a timeout. Node.js runs expired timers before it handles the events of sockets, so an answer that arrived in time while the process was busy would
 * come after the timeout. Therefore the events that are pending when the timer expires are handled first.
 *
 * @param timeoutMs - The timeout in milliseconds.
 * @param onTimeout - Called when it has expired, unless it is cancelled.
 * @returns A function that cancels it.
 */
export function startTimeout (timeoutMs: number, onTimeout: () => void): () => void {
  const expiresAt = performance.now() + timeoutMs
  let cancelWait = (): void => {}
  const timer = setTimeout(() => {
    if (performance.now() - expiresAt > LONGEST_STALL_MS) onTimeout()
    else cancelWait = clock.runAfterReads(onTimeout)
  }, Math.min(timeoutMs, clock.LONGEST_TIMER_MS))
  return () => {
    clearTimeout(timer)
    cancelWait()
  }
}
