/** Writes a version into the stage of an engine and verifies every piece by reading it back. */
import * as createPieceStore from '../createPieceStore/index.js'
import type * as staging from '../types/index.js'

/** Result of writing and verifying a stage. */
export interface StageResult {
  /** Pieces that had to be written again. */
  readonly repaired: number
  /** Pieces that are still wrong; the engine must not be ordered to use the stage. */
  readonly failed: number
  /** Monotonic time in milliseconds at which the oldest of the last reads of all pieces was sent. */
  readonly oldestReadAt: number
}

/** Number of pieces that are written or read at a time. */
const CONCURRENCY = 4

/**
 * Writes and verifies the pieces of a version.
 *
 * @param engine - The engine.
 * @param pieces - All pieces of the version.
 * @param mustWriteAll - Whether every piece is written first; otherwise only the missing or wrong ones are written.
 * @param now - Monotonic clock in milliseconds.
 * @returns How many pieces had to be repaired, and how many could not be.
 */
export async function writeStage (engine: staging.StagedEngine, pieces: createPieceStore.VersionPieces, mustWriteAll: boolean, now: () => number): Promise<StageResult> {
  const { id, digests } = pieces.manifest
  let repaired = 0
  let failed = 0
  let oldestReadAt = Infinity

  async function write (piece: number): Promise<boolean> {
    const bytes = pieces.get(piece)
    return bytes !== null && (await engine.putPiece(id.model, piece, bytes)).ok
  }

  async function isStagedCorrectly (piece: number): Promise<boolean> {
    const sentAt = now()
    const staged = await engine.getPiece(id.model, piece)
    if (!staged.ok || staged.value === null || !createPieceStore.matchesDigest(staged.value, digests[piece])) return false
    oldestReadAt = Math.min(oldestReadAt, sentAt)
    return true
  }

  async function verify (piece: number): Promise<void> {
    if (await isStagedCorrectly(piece)) return
    repaired += 1
    if (!await write(piece) || !await isStagedCorrectly(piece)) failed += 1
  }

  if (mustWriteAll) await forEachPiece(digests.length, async (piece) => { await write(piece) })
  await forEachPiece(digests.length, verify)
  return { repaired, failed, oldestReadAt }
}

/** Visits all pieces, a few concurrently. */
async function forEachPiece (size: number, visit: (piece: number) => Promise<void>): Promise<void> {
  let next = 0
  async function runWorker (): Promise<void> {
    while (next < size) {
      const piece = next
      next += 1
      await visit(piece)
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, runWorker))
}
