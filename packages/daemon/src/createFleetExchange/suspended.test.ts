/**
 * A machine may be suspended for seconds, as when it is moved to another host. Its steady clock leaves that time out, so what it holds to be two seconds old
 * may be seven: a version's bound that is over elsewhere, a report of an engine that has ended since.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as simulatedFleet from '../_lib/simulatedFleet.js'

const SHAPE = { halls: 3, gatewaysPerHall: 3, agentsPerHall: 3, regionBytesPerMs: 2500 }
const SEED = 7
const MODEL = 'model-a'
/** A resumed machine knows within this what time it missed: two others tell it something. */
const NOTICE_MS = 500
const NAMED_BEFORE_MS = 1000
const SUSPENDED_MS = 5000

async function open (context: nodeTest.TestContext, isStartKnown = true): Promise<simulatedFleet.SimulatedFleet> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
  const fleet = simulatedFleet.createSimulatedFleet({ ...SHAPE, isStartKnown }, context.mock.timers, standins.createRandom(SEED))
  context.after(() => { for (const daemon of fleet.daemons) daemon.stop() })
  fleet.configure(3)
  for (const daemon of fleet.daemons) await daemon.start()
  await fleet.pass(5000)
  return fleet
}

/** Milliseconds in which a gateway still sends to the first version. */
function leftOf (gateway: simulatedFleet.SimulatedDaemon): number {
  const { versions, now } = gateway.parts()
  return versions.lastSendTo(MODEL, 1) - now()
}

nodeTest.test('a gateway that was suspended, and hears nobody after it, holds to the bound of a version that was named before', async (context) => {
  const fleet = await open(context)
  const [suspended, other] = fleet.gateways as [simulatedFleet.SimulatedDaemon, simulatedFleet.SimulatedDaemon]
  fleet.put('versions', MODEL, { model: MODEL, version: 2 })
  await fleet.pass(NAMED_BEFORE_MS)
  assert.ok(Math.abs(leftOf(suspended) - leftOf(other)) < NOTICE_MS)
  suspended.suspend()
  await fleet.pass(SUSPENDED_MS)
  suspended.resume()
  fleet.network.cut(suspended.host)
  await fleet.pass(NOTICE_MS)
  assert.ok(Math.abs(leftOf(suspended) - leftOf(other)) < NOTICE_MS, `${leftOf(suspended)} ms left, elsewhere ${leftOf(other)}`)
})

for (const isStartKnown of [true, false]) {
  nodeTest.test(`a gateway that was suspended is right about a version within moments, ${isStartKnown ? 'by its own clocks' : 'by what others tell'}, and tells no wrong age`, async (context) => {
    const fleet = await open(context, isStartKnown)
    const [suspended, other] = fleet.gateways as [simulatedFleet.SimulatedDaemon, simulatedFleet.SimulatedDaemon]
    suspended.suspend()
    await fleet.pass(SUSPENDED_MS)
    suspended.resume()
    fleet.put('versions', MODEL, { model: MODEL, version: 2 })
    await fleet.pass(NAMED_BEFORE_MS)
    const left = leftOf(other)
    context.diagnostic(`${Math.round(leftOf(suspended))} ms left, elsewhere ${Math.round(left)}`)
    assert.ok(Math.abs(leftOf(suspended) - left) < NOTICE_MS)
    await fleet.pass(2000)
    for (const gateway of fleet.gateways) assert.ok(Math.abs(leftOf(gateway) - (left - 2000)) < NOTICE_MS, `${gateway.host}: ${leftOf(gateway)} ms left`)
  })
}

nodeTest.test('a machine whose time of day is set goes on as before, and what others tell it is not lost', async (context) => {
  const fleet = await open(context, false)
  const [set, other] = fleet.gateways as [simulatedFleet.SimulatedDaemon, simulatedFleet.SimulatedDaemon]
  set.setTimeOfDay(SUSPENDED_MS)
  await fleet.pass(200)
  fleet.put('versions', MODEL, { model: MODEL, version: 2 })
  await fleet.pass(NAMED_BEFORE_MS)
  assert.ok(Math.abs(leftOf(set) - leftOf(other)) < NOTICE_MS, `${leftOf(set)} ms left, elsewhere ${leftOf(other)}`)
  set.setTimeOfDay(-SUSPENDED_MS)
  await fleet.pass(NAMED_BEFORE_MS)
  assert.ok(Math.abs(leftOf(set) - leftOf(other)) < NOTICE_MS)
})
