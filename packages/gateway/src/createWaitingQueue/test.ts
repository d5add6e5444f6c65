import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as createWaitingQueue from './index.js'

const LIMITS = { maximumCalls: 3, maximumBytes: 100 }

function call (rank: number, inTimeUntil: number, beginBy: number, bytes = 10): createWaitingQueue.QueuedCall {
  return { rank, inTimeUntil, beginBy, bytes }
}

/** Guards against an urgent call behind one of a lower rank, and against calls that are already late in front of those that can be in time. */
nodeTest.test('calls are ordered by rank, then those that can be in time come first, then those with the least time left', () => {
  let time = 0
  const queue = createWaitingQueue.createWaitingQueue({ maximumCalls: 10, maximumBytes: 1000 }, () => time)
  const [lowRank, soonLate, timely, late, lastLate] = [call(1, 500, 600), call(0, 100, 900), call(0, 200, 5000), call(0, -1, 700), call(0, -1, 800)]
  for (const each of [lowRank, lastLate, late, timely, soonLate]) assert.ok(queue.add(each))
  assert.deepEqual(queue.list(), [soonLate, timely, late, lastLate, lowRank])
  time = 150
  assert.deepEqual(queue.list(), [timely, late, lastLate, soonLate, lowRank])
})

/** Guards against memory that held bodies take beyond the limit, also after calls were removed. */
nodeTest.test('the queue never holds more calls or bytes than its limits, and has room again after a removal', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.record({ bytes: fastCheck.nat(60), isRemoved: fastCheck.boolean() })), (steps) => {
    const queue = createWaitingQueue.createWaitingQueue(LIMITS, () => 0)
    let held: createWaitingQueue.QueuedCall[] = []
    for (const { bytes, isRemoved } of steps) {
      const first = held[0]
      if (isRemoved && first !== undefined) {
        assert.ok(queue.remove(first))
        assert.ok(!queue.remove(first))
        held = held.slice(1)
      }
      const added = call(0, 0, 0, bytes)
      const sum = held.reduce((total, each) => total + each.bytes, 0)
      assert.equal(queue.add(added), held.length < LIMITS.maximumCalls && sum + bytes <= LIMITS.maximumBytes)
      held = [...queue.list()]
      assert.equal(queue.size(), held.length)
    }
  }))
})
