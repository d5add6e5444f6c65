/**
 * Guards against more requests at a cold engine than it can take in any one second (1.5 times its rate and five more), summed over all gateways, and against
 * leaving its rate unused while callers wait for it.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as limitSimulation from './limitSimulation.js'

const SECONDS = 20
/** Bound of the use of the rate while callers wait for it. */
const MINIMUM_UTILIZATION = 0.9
const GATEWAY_COUNTS = [7, 34, 183]
const RATES = [5, 17, 60]
const RUNS = 10
const SEEDS = [3, 17, 2026]
const BASE = { strategy: 'counter', isCold: true, seconds: SECONDS, demand: 3, doCallersReturn: true, lossRate: 0.05 } as const

function describe ({ utilization, peakRequests, allowed }: limitSimulation.LimitResult): string {
  return `used ${utilization.toFixed(2)}, most ${peakRequests} of ${allowed}`
}

async function check (context: nodeTest.TestContext, scenario: limitSimulation.LimitScenario, isUsed: boolean): Promise<void> {
  const result = await limitSimulation.simulateLimit(scenario)
  context.diagnostic(describe(result))
  assert.ok(result.peakRequests <= result.allowed, describe(result))
  if (isUsed) assert.ok(result.utilization >= MINIMUM_UTILIZATION, describe(result))
}

for (const gateways of GATEWAY_COUNTS) {
  for (const perSecond of RATES) {
    const scenario: limitSimulation.LimitScenario = { ...BASE, gateways, perSecond }
    const name = `${gateways} gateways, ${perSecond} requests a second`

    nodeTest.test(`${name}: a cold engine gets its rate and no more, also from skewed callers, while 5 in 100 datagrams are lost`, async (context) => {
      for (const isSkewed of [false, true]) await check(context, { ...scenario, isSkewed }, true)
    })

    nodeTest.test(`${name}: the bound holds while the counter is killed or frozen, a substitute grants beside it, and gateways restart`, async (context) => {
      await check(context, { ...scenario, slowConnectRate: 0.05, counterReplacedAt: [5, 12], gatewaysRestartedAt: [8], partitioned: [2, 16] }, false)
      await check(context, { ...scenario, slowConnectRate: 0.05, counterFrozen: [4, 8], partitioned: [3, 15] }, false)
    })

    nodeTest.test(`${name}: an engine that turns cold under load gets no more once all gateways know it`, async (context) => {
      await check(context, { ...scenario, turnsColdAt: 4 }, true)
    })

    nodeTest.test(`${name}: each engine of a hall that returns cold at once gets its rate and no more`, async (context) => {
      await check(context, { ...scenario, backEnds: 9, seconds: 8 }, true)
    })
  }
}

const span = fastCheck.tuple(fastCheck.integer({ min: 0, max: SECONDS }), fastCheck.integer({ min: 1, max: 10 })).map(([from, length]): [number, number] => [from, from + length])
const moments = fastCheck.array(fastCheck.integer({ min: 0, max: SECONDS }), { maxLength: 3 }).map((list) => list.sort((left, right) => left - right))
const rate = fastCheck.double({ min: 0, max: 0.2, noNaN: true })
const scenarioArbitrary: fastCheck.Arbitrary<limitSimulation.LimitScenario> = fastCheck.record({
  strategy: fastCheck.constant('counter' as const),
  isCold: fastCheck.constant(true),
  gateways: fastCheck.integer({ min: 1, max: 183 }),
  perSecond: fastCheck.constantFrom(0.5, 3, 17, 40, 120),
  seconds: fastCheck.constant(SECONDS),
  demand: fastCheck.constantFrom(1, 3, 8),
  doCallersReturn: fastCheck.boolean(),
  isSkewed: fastCheck.boolean(),
  lossRate: rate,
  duplicationRate: rate,
  delayRate: rate,
  slowConnectRate: rate,
  counterReplacedAt: moments,
  counterFrozen: span,
  partitioned: span,
  gatewaysRestartedAt: moments,
  seed: fastCheck.integer({ min: 1, max: 1_000_000 })
})

for (const seed of SEEDS) {
  nodeTest.test(`no second exceeds what a cold engine tolerates under random faults (seed ${seed})`, async () => {
    await fastCheck.assert(fastCheck.asyncProperty(scenarioArbitrary, async (scenario) => {
      const result = await limitSimulation.simulateLimit(scenario)
      assert.ok(result.peakRequests <= result.allowed, describe(result))
    }), { seed, numRuns: RUNS, endOnFailure: true })
  })
}

const BUSY_SCENARIO: limitSimulation.LimitScenario = { strategy: 'counter', isCold: true, gateways: 34, perSecond: 17, seconds: SECONDS, demand: 5 }

nodeTest.test('the check detects permits that are used late', async () => {
  const result = await limitSimulation.simulateLimit({ ...BUSY_SCENARIO, permitHoldMs: 2000 })
  assert.ok(result.peakRequests > result.allowed, describe(result))
})

nodeTest.test('the check detects a second counter that grants the whole rate', async () => {
  const result = await limitSimulation.simulateLimit({ ...BUSY_SCENARIO, partitioned: [2, 18], substituteFraction: 1 })
  assert.ok(result.peakRequests > result.allowed, describe(result))
})

/** Guards against the least urgent callers who take the few permits of a cold engine. */
nodeTest.test('the lower rank gets hardly a permit while the higher one asks for all, and all permits without it', async (context) => {
  const contended = await limitSimulation.simulateLimit({ ...BASE, gateways: 34, perSecond: 17, lowRankShare: 0.3 })
  const alone = await limitSimulation.simulateLimit({ ...BASE, gateways: 34, perSecond: 17, lowRankShare: 1 })
  context.diagnostic(`lower rank: ${contended.lowRankUtilization.toFixed(2)} of the requests; ${describe(contended)}; alone: ${describe(alone)}`)
  assert.ok(contended.lowRankUtilization <= 0.05)
  assert.ok(contended.utilization >= MINIMUM_UTILIZATION && alone.utilization >= MINIMUM_UTILIZATION)
})

/** Guards against other decisions for back ends that only advertise a limit. The figures were recorded on the code without limits for cold back ends. */
nodeTest.test('the decisions for back ends that are not cold are as recorded', async () => {
  const base = { strategy: 'counter', seconds: 30, demand: 3 } as const
  const faults = { lossRate: 0.05, duplicationRate: 0.02, delayRate: 0.02 }
  const recorded: Array<[limitSimulation.LimitScenario, number, number, number]> = [
    [{ ...base, gateways: 7, perSecond: 0.5 }, 0.8, 3, 6.333333333333333],
    [{ ...base, gateways: 34, perSecond: 6, isSkewed: true }, 0.9611111111111111, 26, 4.23121387283237],
    [{ ...base, ...faults, gateways: 34, perSecond: 17, counterReplacedAt: [8, 20], gatewaysRestartedAt: [13], partitioned: [15, 28] }, 0.9411764705882353, 86, 4.741666666666666],
    [{ ...base, ...faults, gateways: 183, perSecond: 60, isSkewed: true, counterFrozen: [5, 9], partitioned: [7, 20], seed: 5 }, 0.9566666666666667, 304, 4.857723577235772]
  ]
  for (const [scenario, ...figures] of recorded) {
    const { utilization, peakRequests, datagramsPerRequest } = await limitSimulation.simulateLimit(scenario)
    assert.deepEqual([utilization, peakRequests, datagramsPerRequest], figures)
  }
})
