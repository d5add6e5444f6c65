import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as computeRank from './index.js'

/** Guards against a route's priority that outranks the tenant's. */
nodeTest.test('the priority of the tenant is compared before that of the route', () => {
  const ranks = [computeRank.computeRank({ priority: 0 }, null), computeRank.computeRank({ priority: 2 }, { priority: 0 }), computeRank.computeRank({ priority: 0 }, { priority: 1 })]
  assert.deepEqual([...ranks].sort((left, right) => left - right), ranks)
  assert.equal(new Set(ranks).size, ranks.length)
})
