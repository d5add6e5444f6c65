/** Guards against changes of versions that a draining agent leaves half done: new calls were paused, and the process ended before it ordered the change. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as testing from '@switchridge/platform-testing'
import * as fleetTesting from '../_lib/fleetTesting.js'
import * as programTesting from '../_lib/programTesting.js'

const GATEWAY_HOST = '127.0.0.1'
const AGENT_HOST = '127.0.0.55'
const TEST_TIMEOUT_MS = 60_000
const PIECES = 8
/** Longer than a drain without a change. */
const SWITCH_MS = 700
/** Longer than {@link GRACE_SECONDS}, in which an agent has time to order a change. */
const LONG_SWITCH_MS = 4000
const GRACE_SECONDS = 1.5
const OPTIONS = { timeout: TEST_TIMEOUT_MS }

interface OpenedAgent {
  readonly engine: testing.EngineStandIn
  readonly agent: programTesting.StartedProgram
}

/** Starts an agent whose engine runs version 1 and has a queue, so that a change waits for it, and names version 2. */
async function changeVersion (context: nodeTest.TestContext, switchMs: number, limits = ''): Promise<OpenedAgent> {
  const fleet = await fleetTesting.createTestFleet(context, PIECES)
  fleet.configure()
  await fleet.startGateway(GATEWAY_HOST)
  const engine = await fleet.startEngine({ id: 'i-1', model: fleetTesting.MODEL, version: 1, digestsOf: fleet.origin.digestsOf, switchMs })
  const agent = programTesting.startProgram(context, programTesting.formatAgentSettings(fleet, AGENT_HOST, engine.address, GATEWAY_HOST, limits))
  await agent.waitForOutput('event=started')
  engine.load.waiting = 1
  fleet.store.put('versions', fleetTesting.MODEL, { model: fleetTesting.MODEL, version: 2 })
  await agent.waitForOutput('event=staged')
  return { engine, agent }
}

nodeTest.test('a draining agent completes the change of versions for which it has paused its engine', OPTIONS, async (context) => {
  const { engine, agent } = await changeVersion(context, SWITCH_MS)
  agent.child.kill('SIGTERM')
  assert.equal(await agent.ended, 0)
  assert.deepEqual({ orders: engine.orders, version: engine.version() }, { orders: [2], version: 2 }, agent.output())
})

nodeTest.test('a draining agent does not wait for a change of versions beyond its grace period', OPTIONS, async (context) => {
  const { engine, agent } = await changeVersion(context, LONG_SWITCH_MS, `grace_seconds = ${GRACE_SECONDS}\n`)
  agent.child.kill('SIGTERM')
  assert.equal(await agent.ended, 0)
  assert.deepEqual({ orders: engine.orders, version: engine.version() }, { orders: [2], version: 1 }, agent.output())
})
