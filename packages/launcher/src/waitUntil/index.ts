/** Waits for a condition by polling it. */
import * as types from '@switchridge/types'

const POLL_MS = 50

/**
 * Waits until a condition holds.
 *
 * @param condition - Polled until it returns true; an exception counts as false.
 * @param timeoutMs - Timeout in milliseconds.
 * @param description - What the caller waits for, for the error message.
 * @returns Resolves when the condition holds.
 * @throws Error on a timeout.
 */
export async function waitUntil (condition: () => Promise<boolean> | boolean, timeoutMs: number, description: string): Promise<void> {
  const endAt = performance.now() + timeoutMs
  while (performance.now() < endAt) {
    try {
      if (await condition()) return
    } catch {
      // the condition does not hold yet
    }
    await types.delay(POLL_MS)
  }
  throw new Error(`${description} did not come within ${timeoutMs} ms`)
}
