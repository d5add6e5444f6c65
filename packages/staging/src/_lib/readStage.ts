/** Reads pieces that the stage of an engine holds already, so that they need not be fetched: a stage outlasts the agent that has written it. */
import type * as createPieceStore from '../createPieceStore/index.js'
import type * as staging from '../types/index.js'
import * as visitPieces from './visitPieces.js'

/**
 * Stores the pieces of a version that a stage holds. A stage holds one version of a model, so that nothing more is read if the first piece is of another one.
 *
 * @param engine - The engine.
 * @param pieces - Pieces of the version; right ones of the stage are added.
 * @param isWanted - Whether to read on, asked before each piece.
 * @returns Number of pieces that were added.
 */
export async function readStage (engine: Pick<staging.StagedEngine, 'getPiece'>, pieces: createPieceStore.VersionPieces, isWanted: () => boolean): Promise<number> {
  const { id, digests } = pieces.manifest
  const [first, ...others] = digests.keys()

  async function read (piece: number): Promise<boolean> {
    if (!isWanted()) return false
    const staged = await engine.getPiece(id.model, piece)
    return staged.ok && staged.value !== null && pieces.put(piece, staged.value)
  }

  if (first === undefined || !await read(first)) return 0
  await visitPieces.visitPieces(others, async (piece) => { await read(piece) })
  return pieces.count()
}
