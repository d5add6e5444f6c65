/** Guards against changes of versions that a draining agent leaves half done: new calls were paused, and the process ended before it ordered the change. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import type * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
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
/** In which an agent has time to stage a version. */
const LONG_GRACE_SECONDS = 4
const HALF_REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n'
const OPTIONS = { timeout: TEST_TIMEOUT_MS }

interface OpenedAgent {
  readonly engine: testing.EngineStandIn
  readonly agent: programTesting.StartedProgram
  readonly internal: types.Address
  readonly nameVersion: () => void
}

/** Starts an agent whose engine runs version 1. */
async function openAgent (context: nodeTest.TestContext, switchMs: number, limits = ''): Promise<OpenedAgent> {
  const fleet = await fleetTesting.createTestFleet(context, PIECES)
  fleet.configure()
  await fleet.startGateway(GATEWAY_HOST)
  const engine = await fleet.startEngine({ id: 'i-1', model: fleetTesting.MODEL, version: 1, digestsOf: fleet.origin.digestsOf, switchMs })
  const agent = programTesting.startProgram(context, programTesting.formatAgentSettings(fleet, AGENT_HOST, engine.address, GATEWAY_HOST, limits))
  await agent.waitForOutput('event=started')
  return {
    engine,
    agent,
    internal: { host: AGENT_HOST, port: fleet.ports.internal },
    nameVersion: () => { fleet.store.put('versions', fleetTesting.MODEL, { model: fleetTesting.MODEL, version: 2 }) }
  }
}

/** Starts an agent whose engine has a queue, so that a change waits for it, and names version 2. */
async function changeVersion (context: nodeTest.TestContext, switchMs: number, limits = ''): Promise<OpenedAgent> {
  const opened = await openAgent(context, switchMs, limits)
  opened.engine.load.waiting = 1
  opened.nameVersion()
  await opened.agent.waitForOutput('event=staged')
  return opened
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

for (const line of ['event=started', 'event=engine-figures']) {
  nodeTest.test(`a draining agent begins no change of versions while a peer keeps a connection open (SIGTERM after ${line})`, OPTIONS, async (context) => {
    const { engine, agent, internal, nameVersion } = await openAgent(context, SWITCH_MS, `grace_seconds = ${LONG_GRACE_SECONDS}\n`)
    const peer = net.connect(internal.port, internal.host)
    context.after(() => { peer.destroy() })
    peer.on('error', () => {})
    await new Promise((resolve) => { peer.write(HALF_REQUEST, resolve) })
    await agent.waitForOutput(line)
    agent.child.kill('SIGTERM')
    await agent.waitForOutput('event=drain-began')
    nameVersion()
    assert.equal(await agent.ended, 0)
    assert.deepEqual({ orders: engine.orders, version: engine.version() }, { orders: [], version: 1 }, agent.output())
  })
}
