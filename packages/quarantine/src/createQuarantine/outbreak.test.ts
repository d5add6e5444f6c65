/**
 * What a quarantine saves and costs, with seven gateways before 15 engines as on a recorded day of ends in waves. Five seeds each; 6,900 calls of 60 s.
 * One lethal call, six copies in each of three waves: engines that end under it fall from 26 to 5 on the mean.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as outbreakSimulation from '../_lib/outbreakSimulation.js'

const PLAN: outbreakSimulation.OutbreakPlan = {
  gateways: 7, engines: 15, slots: 16, seconds: 60, callsPerSecond: 110, pollsPerSecond: 5, lethalCalls: 1, waves: [10, 30, 45], copies: 6, otherEndsPerSecond: 0.1, ends: 3, toldAfterMs: 40, lostPart: 0.01
}
const SEEDS = [1, 2, 3, 4, 5]
/** What the users allow once a call has ended three engines and all had time to hear of it. */
const LATE_RUNS = 3

function play (context: nodeTest.TestContext, change: Partial<outbreakSimulation.OutbreakPlan>): outbreakSimulation.OutbreakResult[] {
  const results = SEEDS.map((seed) => outbreakSimulation.playOutbreak({ ...PLAN, ...change }, seed))
  for (const result of results) context.diagnostic(JSON.stringify(result))
  return results
}

function sum (results: readonly outbreakSimulation.OutbreakResult[], figure: keyof outbreakSimulation.OutbreakResult): number {
  return results.reduce((total, result) => total + result[figure], 0)
}

nodeTest.test('a lethal call that comes in waves ends few engines, and no wave after the first one does', (context) => {
  const without = play(context, { ends: null })
  const withQuarantine = play(context, {})
  assert.ok(sum(withQuarantine, 'endedByLethal') * 4 <= sum(without, 'endedByLethal'))
  assert.ok(withQuarantine.every(({ lateRuns }) => lateRuns === 0))
  assert.ok(withQuarantine.every(({ blockedEverywhere }) => blockedEverywhere === 1))
  assert.ok(sum(withQuarantine, 'refused') <= 0.001 * sum(withQuarantine, 'calls'))
})

nodeTest.test('three lethal calls at once are all found, and calls beside them are hardly refused', (context) => {
  const results = play(context, { lethalCalls: 3 })
  assert.ok(results.every(({ lateRuns }) => lateRuns <= LATE_RUNS))
  assert.ok(sum(results, 'refused') <= 0.002 * sum(results, 'calls'))
})

nodeTest.test('engines that end for other reasons, one every two seconds, block no call for good', (context) => {
  const results = play(context, { lethalCalls: 0, otherEndsPerSecond: 0.5 })
  assert.equal(sum(results, 'blockedOthers'), 0)
  assert.ok(sum(results, 'refused') <= 0.0005 * sum(results, 'calls'))
})

nodeTest.test('98 gateways before 143 engines find a lethal call as well', (context) => {
  const results = play(context, { gateways: 98, engines: 143, slots: 8, callsPerSecond: 300, toldAfterMs: 150, copies: 20, seconds: 30, waves: [5, 20] })
  assert.ok(results.every(({ lateRuns, blockedEverywhere }) => lateRuns === 0 && blockedEverywhere === 1))
  assert.ok(sum(results, 'refused') <= 0.001 * sum(results, 'calls'))
})
