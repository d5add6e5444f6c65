/** Runs work in turns of the event loop, first in, first out, so that timers and other sockets are served between them. */

/** Work that waits for its turn. */
export interface QueuedWork {
  /** Estimates the work in units of {@link WORK_UNITS_PER_TURN}; read when its turn may have come. */
  readonly estimateUnits: () => number
  readonly run: () => void
}

/** Work in the order in which it was added. */
export interface TurnQueue {
  /** Adds work, which is run in this or a later turn and never before this function returns; returns a function that takes it out. */
  readonly add: (work: QueuedWork) => () => void
}

/**
 * Work that is begun in one turn. A unit is that of one chunk of a message or of {@link UNIT_BYTES} bytes, about a microsecond. The first work of a turn is run whatever
 * its estimate.
 */
export const WORK_UNITS_PER_TURN = 1024
/** Bytes that cost as much as a chunk where each of them is looked at. */
export const UNIT_BYTES = 256

/**
 * Creates a queue.
 *
 * @param scheduleTurn - Calls a function in the check phase of the event loop, as `setImmediate` does.
 * @returns The queue, without any work.
 */
export function createTurnQueue (scheduleTurn: (run: () => void) => void): TurnQueue {
  const waiting = new Set<QueuedWork>()
  let isScheduled = false

  function schedule (): void {
    if (isScheduled || waiting.size === 0) return
    isScheduled = true
    scheduleTurn(runTurn)
  }

  function runTurn (): void {
    isScheduled = false
    try {
      runWork()
    } finally {
      schedule()
    }
  }

  function runWork (): void {
    let units = 0
    // Work that is added meanwhile is at the end, and waits for the next turn.
    let remaining = waiting.size
    for (const work of waiting) {
      if (remaining === 0) return
      remaining -= 1
      const ownUnits = Math.max(1, work.estimateUnits())
      if (units > 0 && units + ownUnits > WORK_UNITS_PER_TURN) return
      units += ownUnits
      waiting.delete(work)
      work.run()
    }
  }

  return {
    add: (work) => {
      waiting.add(work)
      schedule()
      return () => { waiting.delete(work) }
    }
  }
}

/** The queue of this process, so that all peers together have the bound of one turn. */
export const turnQueue = createTurnQueue(setImmediate)
