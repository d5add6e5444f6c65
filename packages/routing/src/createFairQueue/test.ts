import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as types from '@switchridge/types'
import * as createFairQueue from './index.js'

const createCall = (account: string, share = 1, priority: 'interactive' | 'batch' = 'interactive'): createFairQueue.QueuedCall =>
  ({ account: types.brandId(account), share, priority })

test.describe('createFairQueue', () => {
  test.it('serves a small account while a large one floods the queue', () => {
    const queue = createFairQueue.createFairQueue<string>(1000)
    for (let index = 0; index < 100; index += 1) queue.push(`large-${index}`, createCall('large'))
    queue.push('small-0', createCall('small'))
    const first = [queue.pop(), queue.pop()]
    assert.ok(first.includes('small-0'))
  })

  test.it('evicts calls of the flooding account, not of the small one, when it is full', () => {
    const queue = createFairQueue.createFairQueue<string>(4)
    for (let index = 0; index < 4; index += 1) queue.push(`large-${index}`, createCall('large'))
    assert.equal(queue.push('small-0', createCall('small')), 'large-3')
    assert.equal(queue.push('large-4', createCall('large')), 'large-4')
  })

  test.it('serves interactive calls before batch calls and evicts batch calls first', () => {
    const queue = createFairQueue.createFairQueue<string>(2)
    queue.push('batch-0', createCall('a', 1, 'batch'))
    queue.push('batch-1', createCall('b', 1, 'batch'))
    assert.equal(queue.push('now', createCall('c')), 'batch-1')
    assert.equal(queue.pop(), 'now')
  })

  test.it('serves accounts in proportion to their shares while all have waiting calls', () => {
    const queue = createFairQueue.createFairQueue<string>(10_000)
    for (let index = 0; index < 300; index += 1) {
      queue.push('one', createCall('one', 1))
      queue.push('three', createCall('three', 3))
    }
    const served = Array.from({ length: 200 }, () => queue.pop())
    const servedOfThree = served.filter((item) => item === 'three').length
    assert.ok(servedOfThree >= 148 && servedOfThree <= 152, `${servedOfThree} of 200`)
  })

  test.it('returns exactly the items that were added', () => {
    const operation = fc.oneof(
      fc.record({ kind: fc.constant('push' as const), account: fc.constantFrom('a', 'b', 'c'), batch: fc.boolean() }),
      fc.record({ kind: fc.constant('pop' as const) }),
      fc.record({ kind: fc.constant('remove' as const), choice: fc.nat() })
    )
    fc.assert(fc.property(fc.array(operation, { maxLength: 200 }), fc.integer({ min: 0, max: 10 }), (operations, capacity) => {
      const queue = createFairQueue.createFairQueue<number>(capacity)
      const queued = new Set<number>()
      let next = 0
      for (const step of operations) {
        if (step.kind === 'push') {
          queued.add(next)
          const evicted = queue.push(next, createCall(step.account, 1, step.batch ? 'batch' : 'interactive'))
          if (evicted !== undefined) assert.ok(queued.delete(evicted))
          next += 1
        } else if (step.kind === 'pop') {
          const item = queue.pop()
          assert.equal(item === undefined, queued.size === 0)
          if (item !== undefined) assert.ok(queued.delete(item))
        } else {
          const item = [...queued][step.choice % Math.max(1, queued.size)] ?? -1
          assert.equal(queue.remove(item), queued.delete(item))
        }
        assert.equal(queue.size(), queued.size)
        assert.ok(queue.size() <= capacity)
      }
    }), { seed: 4, numRuns: 300 })
  })
})
