/** Waits for a condition by asking again. */
import * as types from '@switchridge/types'

const POLL_MS = 50

/**
 * Waits until a condition holds.
 *
 * @param condition - Asked again and again; a throw counts as not yet.
 * @param timeoutMs - Milliseconds after which it gives up.
 * @param description - What is waited for, for the error.
 * @returns Resolves when it holds.
 * @throws Error when the time is over.
 */
export async function waitUntil (condition: () => Promise<boolean> | boolean, timeoutMs: number, description: string): Promise<void> {
  const endAt = performance.now() + timeoutMs
  while (performance.now() < endAt) {
    try {
      if (await condition()) return
    } catch {
      // not yet
    }
    await types.delay(POLL_MS)
  }
  throw new Error(`${description} did not come within ${timeoutMs} ms`)
}
