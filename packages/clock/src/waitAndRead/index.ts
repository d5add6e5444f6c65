/** Waits for a time that a stall of this process may exceed. */
import * as types from '@switchridge/types'
import * as runAfterReads from '../runAfterReads/index.js'

/**
 * Waits for a time, and then until what had arrived at this process by its end was read.
 *
 * @param forMs - The time in milliseconds.
 */
export async function waitAndRead (forMs: number): Promise<void> {
  await types.delay(forMs)
  await new Promise<void>((resolve) => { runAfterReads.runAfterReads(resolve) })
}
