/** Writes a version into the stage of an engine and verifies every piece by reading it back. */
import type * as createPieceStore from '../createPieceStore/index.js'
import type * as staging from '../types/index.js'
import * as verifyStage from '../verifyStage/index.js'
import * as visitPieces from '../_lib/visitPieces.js'

/** Result of writing and verifying a stage. */
export interface StageResult {
  /** Pieces that had to be written again. */
  readonly repaired: number
  /** Pieces that are still wrong; the engine must not be ordered to use the stage. */
  readonly failed: number
  /** Monotonic time in milliseconds at which the oldest of the last reads of all pieces was sent. */
  readonly oldestReadAt: number
}

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
  const { manifest } = pieces
  const all = [...manifest.digests.keys()]

  async function write (piece: number): Promise<void> {
    const bytes = pieces.get(piece)
    if (bytes !== null) await engine.putPiece(manifest.id.model, piece, bytes)
  }

  if (mustWriteAll) await visitPieces.visitPieces(all, write)
  const first = await verifyStage.verifyStage(engine, manifest, all, now)
  if (first.wrong.length === 0) return { repaired: 0, failed: 0, oldestReadAt: first.oldestReadAt }
  await visitPieces.visitPieces(first.wrong, write)
  const second = await verifyStage.verifyStage(engine, manifest, first.wrong, now)
  return { repaired: first.wrong.length, failed: second.wrong.length, oldestReadAt: Math.min(first.oldestReadAt, second.oldestReadAt) }
}
