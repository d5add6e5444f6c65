/** Signals by which an operator, or the end of a terminal session, interrupts a command. */

const SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const

/**
 * Handles interrupting signals in place of their default action, which ends the process.
 *
 * @param handle - Handles a signal.
 * @returns Restores the default action.
 */
export function onInterrupt (handle: () => void): () => void {
  for (const signal of SIGNALS) process.on(signal, handle)
  return () => { for (const signal of SIGNALS) process.off(signal, handle) }
}
