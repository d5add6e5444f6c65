import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createPieceStore from '../createPieceStore/index.js'
import type * as staging from '../types/index.js'
import * as writeStage from './index.js'

const PIECES = 96
const PIECE_BYTES = 100

/** Guards against an agent that sends all pieces of a version at a time to an engine that reads none of them. */
nodeTest.test('an engine that reads nothing of the pieces is sent a few at a time, and none is taken for staged', async () => {
  const bytes = Buffer.alloc(PIECE_BYTES)
  const digest = types.brandId<types.Digest>(crypto.createHash('sha256').update(bytes).digest('hex'))
  const pieces = createPieceStore.createPieceStore().open({ id: { model: 'm', version: 1 }, digests: Array.from({ length: PIECES }, () => digest) })
  for (let piece = 0; piece < PIECES; piece += 1) pieces.put(piece, bytes)
  let sending = 0
  let most = 0
  async function timeOut (): Promise<types.Outcome<null, types.UnavailableError>> {
    sending += 1
    most = Math.max(most, sending)
    await new Promise((resolve) => { setImmediate(resolve) })
    sending -= 1
    return types.fail(new types.UnavailableError('no answer in time'))
  }
  const engine = { putPiece: timeOut, getPiece: timeOut } as unknown as staging.StagedEngine
  assert.deepEqual(await writeStage.writeStage(engine, pieces, true, () => 0), { repaired: PIECES, failed: PIECES, oldestReadAt: Infinity })
  assert.ok(most <= 4, `${most} at a time`)
})
