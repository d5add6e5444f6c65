/** Writes a version into the stage of an engine and reads every piece back. */
import * as createPieceStore from '../createPieceStore/index.js'
import type * as staging from '../types/index.js'

/** What was found. */
export interface WrittenStage {
  /** Pieces that had to be written again. */
  readonly repaired: number
  /** Pieces that are still wrong; the engine must not take the stage. */
  readonly failed: number
}

const LANES = 4

/**
 * Writes and verifies.
 *
 * @param engine - The engine.
 * @param pieces - All pieces of the version.
 * @param writesAll - Whether every piece is written first; else only those that lie there wrong.
 * @returns How many pieces had to be repaired, and how many could not be.
 */
export async function writeStage (engine: staging.StagedEngine, pieces: createPieceStore.VersionPieces, writesAll: boolean): Promise<WrittenStage> {
  const { id, digests } = pieces.manifest
  let repaired = 0
  let failed = 0

  async function write (piece: number): Promise<boolean> {
    const bytes = pieces.get(piece)
    return bytes !== null && (await engine.putPiece(id.model, piece, bytes)).ok
  }

  async function isRight (piece: number): Promise<boolean> {
    const lies = await engine.getPiece(id.model, piece)
    return lies.ok && lies.value !== null && createPieceStore.matchesDigest(lies.value, digests[piece])
  }

  async function verify (piece: number): Promise<void> {
    if (await isRight(piece)) return
    repaired += 1
    if (!await write(piece) || !await isRight(piece)) failed += 1
  }

  if (writesAll) await forEachPiece(digests.length, async (piece) => { await write(piece) })
  await forEachPiece(digests.length, verify)
  return { repaired, failed }
}

/** Visits all pieces, a few at a time. */
async function forEachPiece (size: number, visit: (piece: number) => Promise<void>): Promise<void> {
  let next = 0
  async function runLane (): Promise<void> {
    while (next < size) {
      const piece = next
      next += 1
      await visit(piece)
    }
  }
  await Promise.all(Array.from({ length: LANES }, runLane))
}
