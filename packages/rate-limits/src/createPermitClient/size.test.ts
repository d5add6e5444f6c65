/**
 * How much of a limit is used, and whether it is kept, by gateways from 7 to 98 and limits from 0.5 to 20 a second, while callers ask for three times as much. The
 * bound is what the limit allows in some four seconds; at least 0.9 of limits from 6 on are to be used and 0.65 of smaller ones. Equal shares keep the bound
 * here, too, but use 0 to 0.75 of a limit; one counter uses 0.70 to 1.00.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as limitSimulation from '../_lib/limitSimulation.js'

const SECONDS = 60
const DEMAND = 3
const LARGE_FROM = 6
const SIZES = [7, 40, 98]
const LIMITS = [0.5, 1, 6, 20]

function describe (result: limitSimulation.LimitResult): string {
  return `used ${result.used.toFixed(2)}, most ${result.most} of ${result.allowed}, ${result.datagramsEach.toFixed(1)} datagrams each`
}

for (const gateways of SIZES) {
  for (const perSecond of LIMITS) {
    const plan: limitSimulation.LimitPlan = { way: 'counter', gateways, perSecond, seconds: SECONDS, demand: DEMAND }
    nodeTest.test(`${gateways} gateways keep ${perSecond} a second and use it`, async (context) => {
      for (const isSkewed of [false, true]) {
        const result = await limitSimulation.playLimit({ ...plan, isSkewed })
        context.diagnostic(describe(result))
        assert.ok(result.most <= result.allowed, describe(result))
        assert.ok(result.used >= (perSecond >= LARGE_FROM ? 0.9 : 0.65), describe(result))
      }
    })

    nodeTest.test(`${gateways} gateways keep ${perSecond} a second while datagrams are lost and counters end, freeze and double`, async (context) => {
      const faults = { lostPart: 0.05, doubledPart: 0.02, latePart: 0.02 }
      for (const result of [
        await limitSimulation.playLimit({ ...plan, ...faults, replacedAt: [15, 40], restartedAt: [25, 26], divided: [30, 55] }),
        await limitSimulation.playLimit({ ...plan, ...faults, isSkewed: true, frozen: [10, 14], restartedAt: [12], divided: [12, 30] })
      ]) {
        context.diagnostic(describe(result))
        assert.ok(result.most <= result.allowed, describe(result))
      }
    })
  }
}

nodeTest.test('equal shares leave most of a small limit unused at size', async (context) => {
  const result = await limitSimulation.playLimit({ way: 'shares', gateways: 98, perSecond: 1, seconds: SECONDS, demand: DEMAND })
  context.diagnostic(describe(result))
  assert.ok(result.used < 0.65, describe(result))
})
