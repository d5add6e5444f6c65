import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as mayFinishInTime from './index.js'

const BOUNDS = { balancedUntil: 2600, endsAt: 7550 }

function mayFinish (now: number, deadlineAt: number, expectedMs: number | null = null, requestedAt = now): boolean {
  return mayFinishInTime.mayFinishInTime(BOUNDS, { requestedAt, deadlineAt, expectedMs }, now)
}

nodeTest.test('a call whose deadline is within the drain is taken on at any time, whatever it may take', () => {
  assert.ok(mayFinish(0, 7550))
  assert.ok(mayFinish(7000, 7500, 60_000))
})

nodeTest.test('a call that may outlast the drain is taken on early if it is expected to end in time, and not without an estimate', () => {
  assert.ok(mayFinish(2600, 8600, 4950))
  assert.ok(!mayFinish(2600, 8600, 4951))
  assert.ok(!mayFinish(0, 7551))
})

nodeTest.test('an estimate admits no call that was requested late, and a further attempt of one that was requested early', () => {
  assert.ok(!mayFinish(2601, 8601, 10))
  assert.ok(mayFinish(5000, 8600, 2550, 2600))
  assert.ok(!mayFinish(5001, 8600, 2550, 2600))
})
