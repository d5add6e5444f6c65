/** Runs a piece of work in turn with those of other peers. */
import * as createTurnQueue from '../_lib/createTurnQueue.js'

/**
 * Runs work in this or a later turn of the event loop, in the order of the calls of this function and after the messages that {@link paceMessage} has paused before, so
 * that all of them together take a few milliseconds of a turn.
 *
 * @param run - The work, which should take a millisecond at most; more of it is added when it is run.
 * @param units - Estimate of the work: one for each chunk, or 256 bytes, that is handled, about a microsecond.
 * @returns A function that takes the work out of the queue; without effect once it has run.
 */
export function runInTurns (run: () => void, units: number): () => void {
  return createTurnQueue.turnQueue.add({ estimateUnits: () => units, run })
}
