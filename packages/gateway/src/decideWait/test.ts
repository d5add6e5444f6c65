import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as decideWait from './index.js'

const PATIENCE_MS = 2400

nodeTest.test('a call waits for a back end that will serve while its caller still waits', () => {
  assert.deepEqual(decideWait.decideWait({ servesInMs: 1500, waitedMs: 0, patienceMs: PATIENCE_MS }, 0), { isWaiting: true })
  assert.deepEqual(decideWait.decideWait({ servesInMs: 200, waitedMs: 1500, patienceMs: PATIENCE_MS }, 0), { isWaiting: true })
})

nodeTest.test('a call that would be served too late is refused at once, with the time at which a back end serves', () => {
  assert.deepEqual(decideWait.decideWait({ servesInMs: 3000, waitedMs: 0, patienceMs: PATIENCE_MS }, 0), { isWaiting: false, retryAfterMs: 3000 })
  assert.deepEqual(decideWait.decideWait({ servesInMs: 3000, waitedMs: 0, patienceMs: PATIENCE_MS }, 1), { isWaiting: false, retryAfterMs: 4500 })
  assert.deepEqual(decideWait.decideWait({ servesInMs: 400, waitedMs: 1700, patienceMs: PATIENCE_MS }, 0), { isWaiting: false, retryAfterMs: 400 })
})

nodeTest.test('nothing is promised when nobody knows', () => {
  assert.deepEqual(decideWait.decideWait({ servesInMs: null, waitedMs: 0, patienceMs: PATIENCE_MS }, 0), { isWaiting: false, retryAfterMs: null })
})
