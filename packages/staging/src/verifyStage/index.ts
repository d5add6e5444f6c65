/** Verifies pieces in the stage of an engine by reading them back. */
import * as createPieceStore from '../createPieceStore/index.js'
import * as visitPieces from '../_lib/visitPieces.js'
import type * as staging from '../types/index.js'

/** Result of a verification. */
export interface StageCheck {
  /** Pieces that are missing, don't match their digest or could not be read. */
  readonly wrong: readonly number[]
  /** Monotonic time in milliseconds at which the oldest read of a right piece was sent: a piece may turn bad at any time after its read. */
  readonly oldestReadAt: number
}

/** A piece that could not be read is read again, up to this many times in all. */
const READ_ATTEMPTS = 3

/**
 * Verifies pieces of a version.
 *
 * @param engine - The engine.
 * @param manifest - Digests of the version's pieces.
 * @param wanted - Numbers of the pieces to verify.
 * @param now - Monotonic clock in milliseconds.
 * @param concurrency - Pieces that are read at a time at first.
 * @returns The wrong pieces, and the age of the verification.
 */
export async function verifyStage (engine: Pick<staging.StagedEngine, 'getPiece'>, { id, digests }: staging.StageManifest, wanted: readonly number[], now: () => number, concurrency?: number): Promise<StageCheck> {
  const wrong: number[] = []
  let oldestReadAt = Infinity

  async function isRight (piece: number): Promise<boolean> {
    for (let attempt = 1; ; attempt += 1) {
      const sentAt = now()
      const staged = await engine.getPiece(id.model, piece)
      if (!staged.ok && attempt < READ_ATTEMPTS) continue
      if (!staged.ok || staged.value === null || !createPieceStore.matchesDigest(staged.value, digests[piece])) return false
      oldestReadAt = Math.min(oldestReadAt, sentAt)
      return true
    }
  }

  await visitPieces.visitPieces(wanted, async (piece) => { if (!await isRight(piece)) wrong.push(piece) }, concurrency)
  return { wrong, oldestReadAt }
}
