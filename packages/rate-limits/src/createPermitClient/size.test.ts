/**
 * Checks that 7 to 98 gateways keep limits of 0.5 to 20 requests per second and use them, while callers send three times the limit. No window of four seconds may
 * exceed the bound; limits from 6 per second must be used to at least 0.9, smaller ones to 0.65. Equal shares also keep the bound here but use only 0 to 0.75 of a
 * limit; one counter uses 0.70 to 1.00.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as limitSimulation from '../_lib/limitSimulation.js'

const SECONDS = 60
const DEMAND = 3
const LARGE_LIMIT = 6
const GATEWAY_COUNTS = [7, 40, 98]
const LIMITS = [0.5, 1, 6, 20]

function describe (result: limitSimulation.LimitResult): string {
  return `used ${result.utilization.toFixed(2)}, most ${result.peakRequests} of ${result.allowed}, ${result.datagramsPerRequest.toFixed(1)} datagrams per request`
}

for (const gateways of GATEWAY_COUNTS) {
  for (const perSecond of LIMITS) {
    const scenario: limitSimulation.LimitScenario = { strategy: 'counter', gateways, perSecond, seconds: SECONDS, demand: DEMAND }
    nodeTest.test(`${gateways} gateways keep a limit of ${perSecond} per second and use it`, async (context) => {
      for (const isSkewed of [false, true]) {
        const result = await limitSimulation.simulateLimit({ ...scenario, isSkewed })
        context.diagnostic(describe(result))
        assert.ok(result.peakRequests <= result.allowed, describe(result))
        assert.ok(result.utilization >= (perSecond >= LARGE_LIMIT ? 0.9 : 0.65), describe(result))
      }
    })

    nodeTest.test(`${gateways} gateways keep a limit of ${perSecond} per second while datagrams are lost and counters fail, pause or are duplicated`, async (context) => {
      const faults = { lossRate: 0.05, duplicationRate: 0.02, delayRate: 0.02 }
      for (const result of [
        await limitSimulation.simulateLimit({ ...scenario, ...faults, counterReplacedAt: [15, 40], gatewaysRestartedAt: [25, 26], partitioned: [30, 55] }),
        await limitSimulation.simulateLimit({ ...scenario, ...faults, isSkewed: true, counterFrozen: [10, 14], gatewaysRestartedAt: [12], partitioned: [12, 30] })
      ]) {
        context.diagnostic(describe(result))
        assert.ok(result.peakRequests <= result.allowed, describe(result))
      }
    })
  }
}

nodeTest.test('equal shares of many gateways leave most of a small limit unused', async (context) => {
  const result = await limitSimulation.simulateLimit({ strategy: 'shares', gateways: 98, perSecond: 1, seconds: SECONDS, demand: DEMAND })
  context.diagnostic(describe(result))
  assert.ok(result.utilization < 0.65, describe(result))
})
