/**
 * A virtual machine may be suspended for seconds, for example during live migration. Its steady clock does not count that time, so data that seems two seconds old may be
 * seven seconds old: the deadline of a version change may have passed already, or an engine may have ended since its last report.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as simulatedFleet from '../_lib/simulatedFleet.js'

const SHAPE = { halls: 3, gatewaysPerHall: 3, agentsPerHall: 3, regionBytesPerMs: 2500 }
const SEED = 7
const MODEL = 'model-a'
/** A resumed machine detects the lost time within this, from the datagrams of two other daemons. */
const NOTICE_MS = 500
const AFTER_ANNOUNCEMENT_MS = 1000
const SUSPENDED_MS = 5000

async function openFleet (context: nodeTest.TestContext, isBootTimeAvailable = true): Promise<simulatedFleet.SimulatedFleet> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
  const fleet = simulatedFleet.createSimulatedFleet({ ...SHAPE, isBootTimeAvailable }, context.mock.timers, standins.createSeededRandom(SEED))
  context.after(() => { for (const daemon of fleet.daemons) daemon.stop() })
  fleet.configure(3)
  for (const daemon of fleet.daemons) await daemon.start()
  await fleet.advance(5000)
  return fleet
}

/** Computes for how many milliseconds a gateway still sends calls to the first version. */
function computeRemainingSendMs (gateway: simulatedFleet.SimulatedDaemon): number {
  const { versions, now } = gateway.parts()
  return versions.lastBeginAt(MODEL, 1) - now()
}

nodeTest.test('a gateway that was suspended, and receives nothing after it, keeps the deadline of a version change made before', async (context) => {
  const fleet = await openFleet(context)
  const [suspended, other] = fleet.gateways as [simulatedFleet.SimulatedDaemon, simulatedFleet.SimulatedDaemon]
  fleet.put('versions', MODEL, { model: MODEL, version: 2 })
  await fleet.advance(AFTER_ANNOUNCEMENT_MS)
  assert.ok(Math.abs(computeRemainingSendMs(suspended) - computeRemainingSendMs(other)) < NOTICE_MS)
  suspended.suspend()
  await fleet.advance(SUSPENDED_MS)
  suspended.resume()
  fleet.network.disconnectHost(suspended.host)
  await fleet.advance(NOTICE_MS)
  assert.ok(Math.abs(computeRemainingSendMs(suspended) - computeRemainingSendMs(other)) < NOTICE_MS, `${computeRemainingSendMs(suspended)} ms left, elsewhere ${computeRemainingSendMs(other)}`)
})

for (const isBootTimeAvailable of [true, false]) {
  nodeTest.test(`a gateway that was suspended soon knows the deadline of a version change, ${isBootTimeAvailable ? 'by its own clocks' : 'by what others send'}, and sends no wrong age`, async (context) => {
    const fleet = await openFleet(context, isBootTimeAvailable)
    const [suspended, other] = fleet.gateways as [simulatedFleet.SimulatedDaemon, simulatedFleet.SimulatedDaemon]
    suspended.suspend()
    await fleet.advance(SUSPENDED_MS)
    suspended.resume()
    fleet.put('versions', MODEL, { model: MODEL, version: 2 })
    await fleet.advance(AFTER_ANNOUNCEMENT_MS)
    const expectedMs = computeRemainingSendMs(other)
    context.diagnostic(`${Math.round(computeRemainingSendMs(suspended))} ms left, elsewhere ${Math.round(expectedMs)}`)
    assert.ok(Math.abs(computeRemainingSendMs(suspended) - expectedMs) < NOTICE_MS)
    await fleet.advance(2000)
    for (const gateway of fleet.gateways) assert.ok(Math.abs(computeRemainingSendMs(gateway) - (expectedMs - 2000)) < NOTICE_MS, `${gateway.host}: ${computeRemainingSendMs(gateway)} ms left`)
  })
}

nodeTest.test('a change of the wall clock does not affect deadlines, and what others send is not lost', async (context) => {
  const fleet = await openFleet(context, false)
  const [adjusted, other] = fleet.gateways as [simulatedFleet.SimulatedDaemon, simulatedFleet.SimulatedDaemon]
  adjusted.adjustTimeOfDay(SUSPENDED_MS)
  await fleet.advance(200)
  fleet.put('versions', MODEL, { model: MODEL, version: 2 })
  await fleet.advance(AFTER_ANNOUNCEMENT_MS)
  assert.ok(Math.abs(computeRemainingSendMs(adjusted) - computeRemainingSendMs(other)) < NOTICE_MS, `${computeRemainingSendMs(adjusted)} ms left, elsewhere ${computeRemainingSendMs(other)}`)
  adjusted.adjustTimeOfDay(-SUSPENDED_MS)
  await fleet.advance(AFTER_ANNOUNCEMENT_MS)
  assert.ok(Math.abs(computeRemainingSendMs(adjusted) - computeRemainingSendMs(other)) < NOTICE_MS)
})
