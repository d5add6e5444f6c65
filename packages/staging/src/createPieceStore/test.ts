import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createPieceStore from './index.js'

const BODIES = ['first', 'second'].map((text) => Buffer.from(text))
const [LEFT, RIGHT] = ['left', 'right'].map((node) => types.brandId<types.NodeId>(node)) as [types.NodeId, types.NodeId]

function openPieces (): createPieceStore.VersionPieces {
  const digests = BODIES.map((body) => types.brandId<types.Digest>(crypto.createHash('sha256').update(body).digest('hex')))
  return createPieceStore.createPieceStore().open({ id: { model: 'm', version: 1 }, digests })
}

nodeTest.test('a piece that does not match its digest is not stored, and the one sent least often is picked', () => {
  const pieces = openPieces()
  assert.equal(pieces.put(0, Buffer.from('spoilt')), false)
  assert.equal(pieces.pickForPeer([0, 1]), null)
  for (const [piece, body] of BODIES.entries()) pieces.put(piece, body)
  assert.deepEqual([pieces.pickForPeer([0, 1])?.piece, pieces.pickForPeer([0, 1])?.piece], [0, 1])
})

nodeTest.test('requesters are referred in turn to the peers that were sent a piece, but to no unusable one', () => {
  const pieces = openPieces()
  assert.equal(pieces.refer([0, 1], () => true), null)
  pieces.recordSent(1, LEFT)
  pieces.recordSent(1, RIGHT)
  const named = Array.from({ length: 4 }, () => pieces.refer([0, 1], () => true)?.holder)
  assert.deepEqual(named, [LEFT, RIGHT, LEFT, RIGHT])
  assert.deepEqual(pieces.refer([1], (peer) => peer !== LEFT), { piece: 1, holder: RIGHT })
  assert.equal(pieces.refer([0], () => true), null)
})

nodeTest.test('waiters for pieces are woken one after the other when one of them is stored, or by their timeout', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const pieces = openPieces()
  const woken: string[] = []
  const startWaiting = (name: string, wanted: readonly number[], maximumMs: number): void => { void pieces.waitForAny(wanted, maximumMs).then(() => { woken.push(name) }) }
  startWaiting('first', [0, 1], 300)
  startWaiting('second', [0], 300)
  startWaiting('other', [1], 300)
  pieces.put(0, BODIES[0] as Buffer)
  await new Promise((resolve) => { setImmediate(resolve) })
  assert.deepEqual(woken, ['first'])
  context.mock.timers.tick(10)
  await new Promise((resolve) => { setImmediate(resolve) })
  assert.deepEqual(woken, ['first', 'second'])
  context.mock.timers.tick(290)
  await new Promise((resolve) => { setImmediate(resolve) })
  assert.deepEqual(woken, ['first', 'second', 'other'])
})
