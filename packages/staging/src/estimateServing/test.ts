import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as estimateServing from './index.js'

const LOAD_MS = 400

nodeTest.test('before the first piece the link decides, later the pace at which pieces come', () => {
  assert.equal(estimateServing.estimateServing({ missing: 32, received: 0, elapsedMs: 300, pieceMs: 50 }), 1600 + LOAD_MS)
  assert.equal(estimateServing.estimateServing({ missing: 16, received: 16, elapsedMs: 1600, pieceMs: 50 }), 1600 + LOAD_MS)
  assert.equal(estimateServing.estimateServing({ missing: 16, received: 40, elapsedMs: 1600, pieceMs: 50 }), 800 + LOAD_MS)
})

nodeTest.test('with all pieces there only the loading is left', () => {
  assert.equal(estimateServing.estimateServing({ missing: 0, received: 32, elapsedMs: 1600, pieceMs: 50 }), LOAD_MS)
})
