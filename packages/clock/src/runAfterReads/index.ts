/** Defers an action until what had arrived at this process was read. */

/** The runtime reads at most 32 datagrams of a socket in each turn of its event loop, and in the first turn the sockets may have been read already. */
const TURNS = 5

/**
 * Runs an action after some turns of the event loop. A process that was paused runs its timers before it reads its sockets, so a timeout for a reply passes through this
 * function: a reply that had arrived by then cancels it.
 *
 * @param action - Runs unless it is cancelled.
 * @returns A function that cancels the action.
 */
export function runAfterReads (action: () => void): () => void {
  let immediate: NodeJS.Immediate | undefined

  function wait (turns: number): void {
    immediate = setImmediate(() => {
      if (turns === 1) action()
      else wait(turns - 1)
    })
  }

  wait(TURNS)
  return () => { clearImmediate(immediate) }
}
