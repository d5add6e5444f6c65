/** Visits pieces, a few concurrently, and more of them while an engine answers slowly. */

/** Pieces that are written or read at a time. */
const CONCURRENCY = 4
/** A visit of all pieces that takes longer than this gets as many further workers each time, up to the maximum: the engine waits for each request and not for the processor. */
const RAMP_INTERVAL_MS = 150
const MAXIMUM_CONCURRENCY = 16

/**
 * Visits pieces.
 *
 * @param pieces - Numbers of the pieces.
 * @param visit - Called for each piece; resolves when it is done.
 * @param concurrency - Pieces that are visited at a time at first.
 * @returns Resolves when all visits are done.
 */
export async function visitPieces (pieces: readonly number[], visit: (piece: number) => Promise<void>, concurrency = CONCURRENCY): Promise<void> {
  const queue = [...pieces]
  const workers: Array<Promise<void>> = []

  async function work (): Promise<void> {
    for (let piece = queue.shift(); piece !== undefined; piece = queue.shift()) await visit(piece)
  }

  function addWorkers (): void {
    for (let added = 0; added < concurrency && workers.length < MAXIMUM_CONCURRENCY && queue.length > 0; added += 1) workers.push(work())
  }

  addWorkers()
  const timer = setInterval(addWorkers, RAMP_INTERVAL_MS)
  try {
    for (let index = 0; index < workers.length; index += 1) await workers[index]
  } finally {
    clearInterval(timer)
  }
}
