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

async function open (context: nodeTest.TestContext): Promise<simulatedFleet.SimulatedFleet> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
  const fleet = simulatedFleet.createSimulatedFleet(SHAPE, context.mock.timers, standins.createRandom(SEED))
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
