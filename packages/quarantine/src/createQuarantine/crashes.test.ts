/**
 * Checks how many engines the quarantine saves and how many harmless calls it refuses, with seven gateways and 15 engines as on a recorded day on which crashing
 * calls came in waves. Five seeds per test; 6,900 calls within 60 s. With one crashing call, sent as six copies in each of three waves, the quarantine lowers the
 * mean number of engines that it ends from 26 to 5.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as crashSimulation from '../_lib/crashSimulation.js'

const SCENARIO: crashSimulation.CrashScenario = {
  gateways: 7, engines: 15, slots: 16, seconds: 60, callsPerSecond: 110, pollsPerSecond: 5, crashingCalls: 1, waves: [10, 30, 45], copies: 6, otherEndsPerSecond: 0.1, ends: 3, propagationMs: 40, lossRate: 0.01
}
const SEEDS = [1, 2, 3, 4, 5]
/** Required by the users: how often a call may still run after it has ended three engines and all gateways had time to learn of it. */
const MAXIMUM_LATE_RUNS = 3

function simulate (context: nodeTest.TestContext, change: Partial<crashSimulation.CrashScenario>): crashSimulation.CrashResult[] {
  const results = SEEDS.map((seed) => crashSimulation.simulateCrashes({ ...SCENARIO, ...change }, seed))
  for (const result of results) context.diagnostic(JSON.stringify(result))
  return results
}

function sum (results: readonly crashSimulation.CrashResult[], figure: keyof crashSimulation.CrashResult): number {
  return results.reduce((total, result) => total + result[figure], 0)
}

nodeTest.test('a crashing call that is sent in waves ends few engines, and none after the first wave', (context) => {
  const without = simulate(context, { ends: null })
  const withQuarantine = simulate(context, {})
  assert.ok(sum(withQuarantine, 'endedByCrashingCall') * 4 <= sum(without, 'endedByCrashingCall'))
  assert.ok(withQuarantine.every(({ lateRuns }) => lateRuns === 0))
  assert.ok(withQuarantine.every(({ blockedEverywhere }) => blockedEverywhere === 1))
  assert.ok(sum(withQuarantine, 'refused') <= 0.001 * sum(withQuarantine, 'calls'))
})

nodeTest.test('three simultaneous crashing calls are all detected, and hardly any harmless calls are refused', (context) => {
  const results = simulate(context, { crashingCalls: 3 })
  assert.ok(results.every(({ lateRuns }) => lateRuns <= MAXIMUM_LATE_RUNS))
  assert.ok(sum(results, 'refused') <= 0.002 * sum(results, 'calls'))
})

nodeTest.test('engines that end for other reasons, one every two seconds, leave no call blocked', (context) => {
  const results = simulate(context, { crashingCalls: 0, otherEndsPerSecond: 0.5 })
  assert.equal(sum(results, 'blockedOthers'), 0)
  assert.ok(sum(results, 'refused') <= 0.0005 * sum(results, 'calls'))
})

nodeTest.test('98 gateways with 143 engines detect a crashing call, too', (context) => {
  const results = simulate(context, { gateways: 98, engines: 143, slots: 8, callsPerSecond: 300, propagationMs: 150, copies: 20, seconds: 30, waves: [5, 20] })
  assert.ok(results.every(({ lateRuns, blockedEverywhere }) => lateRuns === 0 && blockedEverywhere === 1))
  assert.ok(sum(results, 'refused') <= 0.001 * sum(results, 'calls'))
})
