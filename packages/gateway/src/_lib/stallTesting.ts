/** Stalls of the event loop, for tests. */

/**
 * Starts connections, and stalls the event loop before the events of their sockets are handled.
 *
 * @param start - Starts the connections.
 * @param stallMs - Milliseconds for which the event loop stalls.
 * @returns What `start` returned.
 */
export async function startBeforeStall<Started> (start: () => Started, stallMs: number): Promise<Started> {
  return await new Promise((resolve) => {
    // The event loop runs timers, sockets and immediates in turn, so expired timers come next.
    setImmediate(() => {
      const started = start()
      // Node.js connects in the next tick.
      process.nextTick(process.nextTick, () => {
        const endsAt = performance.now() + stallMs
        while (performance.now() < endsAt);
        resolve(started)
      })
    })
  })
}
