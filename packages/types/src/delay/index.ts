/** Delay on the runtime's timers, which tests mock. */

/**
 * Waits for a time.
 *
 * @param milliseconds - Time to wait.
 * @returns Resolves when the time is over.
 */
export async function delay (milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds) })
}
