import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as chooseCounter from '../chooseCounter/index.js'
import * as computeColdLimit from './index.js'

/** Requests that arrive within one second may have been granted within this much more. */
const SPREAD_SECONDS = 0.18

/** Most requests of one second: both counters start with full buckets and grant their whole rate. */
function computeWorstCase ({ perSecond, burst }: { readonly perSecond: number, readonly burst: number }): number {
  return [1, chooseCounter.SUBSTITUTE_FRACTION].reduce((sum, part) => sum + 1 + part * (burst + perSecond * (1 + SPREAD_SECONDS)), 0)
}

nodeTest.test('the usual tolerance allows the whole rate', () => {
  for (const perSecond of [0.5, 5, 17, 50]) assert.equal(computeColdLimit.computeColdLimit(perSecond, { overage: 1.5, slack: 5 }).perSecond, perSecond)
})

/** Guards against a rate and a burst that together exceed what the back end tolerates in a second. */
nodeTest.test('a counter and its substitute together stay within the tolerance', () => {
  fastCheck.assert(fastCheck.property(fastCheck.double({ min: 0.5, max: 500, noNaN: true }), fastCheck.double({ min: 1, max: 3, noNaN: true }), fastCheck.double({ min: 3, max: 30, noNaN: true }), (perSecond, overage, slack) => {
    const limit = computeColdLimit.computeColdLimit(perSecond, { overage, slack })
    assert.ok(limit.perSecond <= perSecond)
    assert.ok(computeWorstCase(limit) <= overage * perSecond + slack + 1e-6, JSON.stringify(limit))
  }), { seed: 5 })
})
