/**
 * Guards against a data hall that goes on receiving calls after its evacuation was written, because a gateway learns of it too late: when it is cut off, when the gateways that read the store are frozen,
 * when the evacuated hall is cut off itself, and when an evacuation is taken back at once.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as spread from '@switchridge/spread'
import * as standins from '@switchridge/standins'
import * as createFleetParts from '../createFleetParts/index.js'
import * as simulatedFleet from '../_lib/simulatedFleet.js'

const SEED = 7
const EVACUATION_MS = 5000
/** A gateway that was cut off or frozen is bound again after this time. */
const CONTACT_MS = 4000
const CUT_OFF_MS = 5000
const SHAPE = { halls: 3, gatewaysPerHall: 4, agentsPerHall: 2 }
const HALL = 'hall-1'
const KIND = platform.OBJECT_KINDS.evacuations

type Gateway = simulatedFleet.SimulatedDaemon

async function openFleet (context: nodeTest.TestContext, shape: Pick<simulatedFleet.SimulatedFleetOptions, 'halls' | 'gatewaysPerHall' | 'agentsPerHall'> = SHAPE): Promise<simulatedFleet.SimulatedFleet> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
  const fleet = simulatedFleet.createSimulatedFleet({ ...shape, regionBytesPerMs: 2500, evacuationMs: EVACUATION_MS }, context.mock.timers, standins.createSeededRandom(SEED))
  context.after(() => { for (const daemon of fleet.daemons) daemon.stop() })
  fleet.configure(3)
  for (const daemon of fleet.daemons) await daemon.start()
  await fleet.advance(5000)
  return fleet
}

function knows (gateway: Gateway, hall: string, isEvacuated = true): boolean {
  return gateway.parts().evacuations.isEvacuated(hall) === isEvacuated
}

/** Advances the time until all gateways know whether the hall is evacuated; fails if that takes longer than the bound. */
async function waitUntilKnown (fleet: simulatedFleet.SimulatedFleet, gateways: readonly Gateway[], boundMs: number, isEvacuated = true): Promise<number> {
  const tookMs = await fleet.advanceUntil(() => gateways.every((gateway) => knows(gateway, HALL, isEvacuated)), boundMs)
  assert.ok(tookMs <= boundMs, `unknown after ${boundMs} ms at ${gateways.filter((gateway) => !knows(gateway, HALL, isEvacuated)).map(({ host }) => host).join()}`)
  return tookMs
}

function inHall (gateway: Gateway, hall: string): boolean {
  return gateway.parts().settings.zone === hall
}

for (const gatewaysPerHall of [2, 12, 61]) {
  nodeTest.test(`an evacuation is known to ${3 * gatewaysPerHall} gateways in time, and so is its end`, async (context) => {
    const fleet = await openFleet(context, { halls: 3, gatewaysPerHall, agentsPerHall: 0 })
    fleet.put(KIND, HALL, {})
    const putMs = await waitUntilKnown(fleet, fleet.gateways, EVACUATION_MS)
    for (const gateway of fleet.gateways) assert.ok(!knows(gateway, 'hall-0'))
    await fleet.advance(1000)
    fleet.remove(KIND, HALL)
    const removedMs = await waitUntilKnown(fleet, fleet.gateways, EVACUATION_MS, false)
    context.diagnostic(`evacuated after ${putMs} ms, taken back after ${removedMs} ms`)
  })
}

nodeTest.test('a gateway that is cut off for five seconds while a hall is evacuated knows it once it is bound again', async (context) => {
  const fleet = await openFleet(context)
  const [cutOff, ...others] = fleet.gateways as [Gateway, ...Gateway[]]
  fleet.network.disconnectHost(cutOff.host)
  await fleet.advance(100)
  fleet.put(KIND, HALL, {})
  await waitUntilKnown(fleet, others, EVACUATION_MS)
  await fleet.advance(CUT_OFF_MS)
  assert.ok(!knows(cutOff, HALL))
  fleet.network.reconnectHost(cutOff.host)
  await waitUntilKnown(fleet, [cutOff], CONTACT_MS)
})

nodeTest.test('an evacuation is known in time although the gateways that watch the store are frozen', async (context) => {
  const fleet = await openFleet(context)
  const watchers = ['hall-0', 'hall-1', 'hall-2'].flatMap((hall) => {
    const members = fleet.gateways.filter((gateway) => inHall(gateway, hall)).map((gateway) => createFleetParts.describeSelf(gateway.parts(), { isLeaving: false, isStoreLost: false }))
    return spread.chooseWatchers(members, hall, false).map(({ host }) => host)
  })
  assert.equal(watchers.length, 3)
  const frozen = fleet.gateways.filter(({ host }) => watchers.includes(host))
  for (const gateway of frozen) gateway.suspend()
  await fleet.advance(100)
  fleet.put(KIND, HALL, {})
  await waitUntilKnown(fleet, fleet.gateways.filter(({ host }) => !watchers.includes(host)), EVACUATION_MS)
  for (const gateway of frozen) gateway.resume()
  await waitUntilKnown(fleet, frozen, CONTACT_MS)
})

nodeTest.test('an evacuation is known in time although the connections of all watches die silently right before it', async (context) => {
  const fleet = await openFleet(context)
  for (const restMs of [100, 900, 1700]) {
    await fleet.advance(restMs)
    fleet.loseWatches()
    await fleet.advance(1)
    fleet.put(KIND, HALL, {})
    context.diagnostic(`known after ${await waitUntilKnown(fleet, fleet.gateways, EVACUATION_MS)} ms`)
    fleet.remove(KIND, HALL)
    await waitUntilKnown(fleet, fleet.gateways, EVACUATION_MS, false)
  }
})

nodeTest.test('a hall that is cut off and evacuated is known to the others in time, and to its own gateways once they are bound again', async (context) => {
  const fleet = await openFleet(context)
  fleet.network.isolateRegion('region-1')
  await fleet.advance(100)
  fleet.put(KIND, HALL, {})
  const own = fleet.gateways.filter((gateway) => inHall(gateway, HALL))
  await waitUntilKnown(fleet, fleet.gateways.filter((gateway) => !inHall(gateway, HALL)), EVACUATION_MS)
  await fleet.advance(CUT_OFF_MS)
  fleet.network.reconnectRegion('region-1')
  await waitUntilKnown(fleet, own, CONTACT_MS)
})

for (const isPutAgain of [false, true]) {
  nodeTest.test(`of an evacuation that is put and taken back within a second${isPutAgain ? ', and put again,' : ''} the newest revision decides everywhere`, async (context) => {
    const fleet = await openFleet(context)
    fleet.put(KIND, HALL, {})
    await fleet.advance(400)
    fleet.remove(KIND, HALL)
    await fleet.advance(300)
    if (isPutAgain) fleet.put(KIND, HALL, {})
    await waitUntilKnown(fleet, fleet.gateways, EVACUATION_MS, isPutAgain)
    await fleet.advance(EVACUATION_MS)
    for (const gateway of fleet.gateways) assert.ok(knows(gateway, HALL, isPutAgain), gateway.host)
  })
}

nodeTest.test('evacuations are neither mirrored nor announced without a bound in the settings, nor by agents', async (context) => {
  const fleet = await openFleet(context)
  const readKinds = (daemon: Gateway): string[] => Object.keys(createFleetParts.describeSelf(daemon.parts(), { isLeaving: false, isStoreLost: false }).copies)
  for (const daemon of fleet.daemons) assert.equal(readKinds(daemon).includes(KIND), daemon.role === 'gateway', daemon.host)
  const without = simulatedFleet.createSimulatedFleet({ ...SHAPE, regionBytesPerMs: 2500 }, context.mock.timers, standins.createSeededRandom(SEED))
  context.after(() => { for (const daemon of without.daemons) daemon.stop() })
  for (const daemon of without.daemons) await daemon.start()
  for (const daemon of without.daemons) assert.ok(!readKinds(daemon).includes(KIND), daemon.host)
})

/** Guards against watches by every gateway, each of which costs a call. A watch waits for at least 0.6 of 3,200 ms. */
nodeTest.test('one gateway of each of three halls watches the evacuations', async (context) => {
  const fleet = await openFleet(context, { halls: 4, gatewaysPerHall: 6, agentsPerHall: 0 })
  const before = fleet.countStoreCalls(KIND)
  await fleet.advance(20_000)
  const calls = fleet.countStoreCalls(KIND) - before
  context.diagnostic(`${calls} calls in 20 s`)
  assert.ok(calls > 0 && calls <= 3 * Math.ceil(20_000 / 1920), `${calls} calls`)
})
