/** Random faults against the bound of a limit: counters that end, freeze and double, gateways that start again, datagrams that are lost, late and doubled. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as limitSimulation from './limitSimulation.js'

const SECONDS = 40
const RUNS = 12
const SEEDS = [1, 7, 2026]

const second = fastCheck.integer({ min: 0, max: SECONDS })
const span = fastCheck.tuple(second, fastCheck.integer({ min: 1, max: 15 })).map(([from, length]): [number, number] => [from, from + length])
const part = fastCheck.double({ min: 0, max: 0.2, noNaN: true })
const seconds = fastCheck.array(second, { maxLength: 3 }).map((list) => list.sort((left, right) => left - right))

const planArbitrary: fastCheck.Arbitrary<limitSimulation.LimitPlan> = fastCheck.record({
  way: fastCheck.constant('counter' as const),
  gateways: fastCheck.integer({ min: 1, max: 98 }),
  perSecond: fastCheck.constantFrom(0.1, 0.5, 1, 1.6, 6, 20),
  seconds: fastCheck.constant(SECONDS),
  demand: fastCheck.constantFrom(1, 3, 8),
  isSkewed: fastCheck.boolean(),
  lostPart: part,
  doubledPart: part,
  latePart: part,
  replacedAt: seconds,
  frozen: span,
  divided: span,
  restartedAt: seconds,
  seed: fastCheck.integer({ min: 1, max: 1_000_000 })
})

for (const seed of SEEDS) {
  nodeTest.test(`no four seconds bring more than a limit allows (seed ${seed})`, async () => {
    await fastCheck.assert(fastCheck.asyncProperty(planArbitrary, async (plan) => {
      const result = await limitSimulation.playLimit(plan)
      assert.ok(result.most <= result.allowed, `${result.most} of ${result.allowed}`)
    }), { seed, numRuns: RUNS, endOnFailure: true })
  })
}

const BUSY: limitSimulation.LimitPlan = { way: 'counter', gateways: 40, perSecond: 20, seconds: SECONDS, demand: 5 }

nodeTest.test('the check finds permits that do not lapse', async () => {
  const result = await limitSimulation.playLimit({ ...BUSY, heldMs: 8000 })
  assert.ok(result.most > result.allowed, `${result.most} of ${result.allowed}`)
})

nodeTest.test('the check finds a second counter that gives the whole rate at once', async () => {
  const result = await limitSimulation.playLimit({ ...BUSY, divided: [5, 35], substitutePart: 1 })
  assert.ok(result.most > result.allowed, `${result.most} of ${result.allowed}`)
})
