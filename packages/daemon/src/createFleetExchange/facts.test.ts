/** How soon a fact reaches all gateways of a large fleet, with the real exchange over links of limited bandwidth. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as simulatedFleet from '../_lib/simulatedFleet.js'

/** Stands for a deployment of 183 daemons: 98 gateways and 85 agents, spread almost evenly over five halls. */
const SHAPE = { halls: 5, gatewaysPerHall: 20, agentsPerHall: 17, regionBytesPerMs: 2500 }
const SEED = 7
/** Within this time after an outage a daemon must act on what others know. */
const CONTACT_MS = 3000

async function openFleet (context: nodeTest.TestContext): Promise<simulatedFleet.SimulatedFleet> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
  const fleet = simulatedFleet.createSimulatedFleet(SHAPE, context.mock.timers, standins.createSeededRandom(SEED))
  context.after(() => { for (const daemon of fleet.daemons) daemon.stop() })
  fleet.configure(10)
  for (const daemon of fleet.daemons) await daemon.start()
  await fleet.advance(8000)
  return fleet
}

function countUninformed (gateways: readonly simulatedFleet.SimulatedDaemon[], fact: string): number {
  return gateways.filter((gateway) => !gateway.factTimes.has(fact)).length
}

nodeTest.test('a fact of one gateway reaches all others of a fleet of 183 daemons within a tenth of a second', async (context) => {
  const fleet = await openFleet(context)
  fleet.gateways[3]?.publishFact('fact')
  const tookMs = await fleet.advanceUntil(() => countUninformed(fleet.gateways, 'fact') === 0, CONTACT_MS)
  context.diagnostic(`${tookMs} ms`)
  assert.ok(tookMs <= 100, `known after ${tookMs} ms`)
})

nodeTest.test('a hall that was cut off shares facts within itself, and gets the others in time after the cut', async (context) => {
  const fleet = await openFleet(context)
  const inside = fleet.gateways.filter(({ host }) => host.startsWith('10.2.'))
  const outside = fleet.gateways.filter(({ host }) => !host.startsWith('10.2.'))
  fleet.network.isolateRegion('region-2')
  await fleet.advance(1000)
  inside[4]?.publishFact('inside')
  outside[4]?.publishFact('outside')
  await fleet.advance(1000)
  assert.equal(countUninformed(inside, 'inside') + countUninformed(outside, 'outside'), 0)
  await fleet.advance(6000)
  fleet.network.reconnectRegion('region-2')
  const tookMs = await fleet.advanceUntil(() => countUninformed(fleet.gateways, 'inside') + countUninformed(fleet.gateways, 'outside') === 0, 3 * CONTACT_MS)
  context.diagnostic(`${tookMs} ms after the cut`)
  assert.ok(tookMs <= CONTACT_MS, `known after ${tookMs} ms`)
})

nodeTest.test('a gateway that restarts gets the facts of the others in time', async (context) => {
  const fleet = await openFleet(context)
  fleet.gateways[3]?.publishFact('fact')
  await fleet.advance(1000)
  const restarted = fleet.gateways[30] as simulatedFleet.SimulatedDaemon
  restarted.stop()
  await fleet.advance(500)
  await restarted.start()
  const tookMs = await fleet.advanceUntil(() => restarted.factTimes.has('fact'), CONTACT_MS)
  context.diagnostic(`${tookMs} ms`)
  assert.ok(tookMs <= CONTACT_MS, `known after ${tookMs} ms`)
})
