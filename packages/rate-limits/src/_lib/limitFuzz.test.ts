/**
 * Checks the bound on requests within four seconds under random faults: counters that fail, pause or are duplicated by a partition, gateways that restart, and
 * datagrams that are lost, delayed or duplicated.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as limitSimulation from './limitSimulation.js'

const SECONDS = 40
const RUNS = 12
const SEEDS = [1, 7, 2026]

const second = fastCheck.integer({ min: 0, max: SECONDS })
const span = fastCheck.tuple(second, fastCheck.integer({ min: 1, max: 15 })).map(([from, length]): [number, number] => [from, from + length])
const rate = fastCheck.double({ min: 0, max: 0.2, noNaN: true })
const seconds = fastCheck.array(second, { maxLength: 3 }).map((list) => list.sort((left, right) => left - right))

const scenarioArbitrary: fastCheck.Arbitrary<limitSimulation.LimitScenario> = fastCheck.record({
  strategy: fastCheck.constant('counter' as const),
  gateways: fastCheck.integer({ min: 1, max: 98 }),
  perSecond: fastCheck.constantFrom(0.1, 0.5, 1, 1.6, 6, 20),
  seconds: fastCheck.constant(SECONDS),
  demand: fastCheck.constantFrom(1, 3, 8),
  isSkewed: fastCheck.boolean(),
  lossRate: rate,
  duplicationRate: rate,
  delayRate: rate,
  counterReplacedAt: seconds,
  counterFrozen: span,
  partitioned: span,
  gatewaysRestartedAt: seconds,
  seed: fastCheck.integer({ min: 1, max: 1_000_000 })
})

for (const seed of SEEDS) {
  nodeTest.test(`no window of four seconds exceeds what a limit allows (seed ${seed})`, async () => {
    await fastCheck.assert(fastCheck.asyncProperty(scenarioArbitrary, async (scenario) => {
      const result = await limitSimulation.simulateLimit(scenario)
      assert.ok(result.peakRequests <= result.allowed, `${result.peakRequests} of ${result.allowed}`)
    }), { seed, numRuns: RUNS, endOnFailure: true })
  })
}

const BUSY_SCENARIO: limitSimulation.LimitScenario = { strategy: 'counter', gateways: 40, perSecond: 20, seconds: SECONDS, demand: 5 }

nodeTest.test('the check detects permits that do not expire', async () => {
  const result = await limitSimulation.simulateLimit({ ...BUSY_SCENARIO, permitHoldMs: 8000 })
  assert.ok(result.peakRequests > result.allowed, `${result.peakRequests} of ${result.allowed}`)
})

nodeTest.test('the check detects a second counter that grants the whole rate', async () => {
  const result = await limitSimulation.simulateLimit({ ...BUSY_SCENARIO, partitioned: [5, 35], substituteFraction: 1 })
  assert.ok(result.peakRequests > result.allowed, `${result.peakRequests} of ${result.allowed}`)
})
