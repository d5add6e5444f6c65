import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import type * as fleetRole from '../_lib/fleetRole.js'
import * as fleetTesting from '../_lib/fleetTesting.js'

const GATEWAY_HOST = '127.0.0.1'
const AGENT_HOSTS = ['127.0.0.11', '127.0.0.12', '127.0.0.13'] as const
const PIECES = 8
const LIMIT = { timeout: 60_000 }
/** In this time an agent would order a version that it holds completely. */
const SEVERAL_STEPS_MS = 1500

interface OpenedAgents {
  readonly fleet: fleetTesting.TestFleet
  readonly engines: readonly testing.EngineStandIn[]
}

/** Starts a gateway, and an engine with its agent for each entry of `versions`; 0 stands for an engine without weights. */
async function openAgents (context: nodeTest.TestContext, versions: readonly number[]): Promise<OpenedAgents> {
  const fleet = await fleetTesting.createTestFleet(context, PIECES)
  fleet.configure()
  await fleet.startGateway(GATEWAY_HOST)
  const engines: testing.EngineStandIn[] = []
  const agents: fleetRole.FleetRole[] = []
  for (const [index, version] of versions.entries()) {
    const engine = await fleet.startEngine({ id: `i-${index}`, model: fleetTesting.MODEL, version, digestsOf: fleet.origin.digestsOf })
    if (version > 0) fillStage(fleet, engine, version)
    engines.push(engine)
    agents.push(await fleet.startAgent(AGENT_HOSTS[index] as string, engine, [GATEWAY_HOST]))
  }
  await fleetTesting.waitUntil(() => agents.every((agent) => agent.countPeers() === versions.length))
  return { fleet, engines }
}

function fillStage (fleet: fleetTesting.TestFleet, engine: testing.EngineStandIn, version: number): void {
  for (let piece = 0; piece < PIECES; piece += 1) engine.stage.set(piece, fleet.origin.pieceOf(version, piece))
}

function announceVersion (fleet: fleetTesting.TestFleet, version: number): void {
  fleet.store.put('versions', fleetTesting.MODEL, { model: fleetTesting.MODEL, version })
}

/** The engine stand-in records an order for an incomplete stage as a negative version. */
function assertWholeOrders (engines: readonly testing.EngineStandIn[]): void {
  for (const engine of engines) assert.ok(engine.orders.every((order) => order > 0), `${engine.id} took ${engine.orders.join()}`)
}

nodeTest.test('every engine gets an announced version completely, and the origin sends at most two copies', async (context) => {
  const { fleet, engines } = await openAgents(context, [1, 1, 1])
  announceVersion(fleet, 2)
  await fleetTesting.waitUntil(() => engines.every((engine) => engine.version() === 2))
  assertWholeOrders(engines)
  assert.ok(fleet.origin.sent() <= 2 * PIECES, `${fleet.origin.sent()} pieces`)
})

nodeTest.test('an engine without weights gets the version that the others run', async (context) => {
  const { engines } = await openAgents(context, [1, 1, 0])
  await fleetTesting.waitUntil(() => engines[2]?.version() === 1)
  assertWholeOrders(engines)
})

nodeTest.test('corrupt pieces and manifests are fetched again', async (context) => {
  const { fleet, engines } = await openAgents(context, [1, 1])
  fleet.origin.faults.corruptManifests = 1
  fleet.origin.faults.corruptPieces = 3
  announceVersion(fleet, 2)
  await fleetTesting.waitUntil(() => engines.every((engine) => engine.version() === 2))
  assertWholeOrders(engines)
})

nodeTest.test('a piece that became corrupt in the stage is rewritten before the order', async (context) => {
  const { fleet, engines } = await openAgents(context, [1])
  const [engine] = engines as [testing.EngineStandIn]
  const put = engine.stage.set.bind(engine.stage)
  let putsOfPiece = 0
  engine.stage.set = (piece, bytes) => {
    putsOfPiece += piece === 3 ? 1 : 0
    return put(piece, piece === 3 && putsOfPiece === 1 ? Buffer.from('spoilt') : bytes)
  }
  announceVersion(fleet, 2)
  await fleetTesting.waitUntil(() => engine.version() === 2)
  assertWholeOrders(engines)
})

nodeTest.test('an engine that restarts without weights gets them again', async (context) => {
  const { engines } = await openAgents(context, [1, 1])
  const [engine] = engines as [testing.EngineStandIn]
  engine.restart()
  await fleetTesting.waitUntil(() => engine.version() === 1)
  assertWholeOrders(engines)
})

nodeTest.test('after two version changes in quick succession every engine runs the newer version', async (context) => {
  const { fleet, engines } = await openAgents(context, [1, 1, 1])
  announceVersion(fleet, 2)
  announceVersion(fleet, 3)
  await fleetTesting.waitUntil(() => engines.every((engine) => engine.version() === 3))
  assertWholeOrders(engines)
})

/** Guards against calls that begin on an old version after its deadline: they may be in transit to the engine for longer than any margin of their gateways. */
nodeTest.test('an engine that has not got an announced version in time unloads the old one, until it gets the new one', async (context) => {
  const { fleet, engines } = await openAgents(context, [1, 1])
  const [engine] = engines as [testing.EngineStandIn]
  fleet.origin.faults.corruptPieces = Infinity
  announceVersion(fleet, 2)
  await fleetTesting.waitWithLimit(async () => engines.every((each) => each.version() === 0))
  const answer = await testing.sendCallerRequest(engine.address, fleetTesting.API_KEY, { path: '/stream/quote', id: 'late', headers: { 'expect-instance': engine.id } })
  assert.equal(answer.status, 421)
  fleet.origin.faults.corruptPieces = 0
  await fleetTesting.waitWithLimit(async () => engines.every((each) => each.version() === 2))
  assertWholeOrders(engines)
})

/** An agent keeps the pieces of versions that it has fetched, so that it could order an unloaded one again. */
nodeTest.test('an engine that unloaded a version because of a newer one is not ordered to load it again', async (context) => {
  const { fleet, engines } = await openAgents(context, [1])
  const [engine] = engines as [testing.EngineStandIn]
  announceVersion(fleet, 2)
  await fleetTesting.waitWithLimit(async () => engine.version() === 2)
  fleet.origin.faults.corruptPieces = Infinity
  announceVersion(fleet, 3)
  await fleetTesting.waitWithLimit(async () => engine.version() === 0)
  const orders = engine.orders.length
  await types.delay(SEVERAL_STEPS_MS)
  assert.equal(engine.orders.length, orders)
  fleet.origin.faults.corruptPieces = 0
  await fleetTesting.waitWithLimit(async () => engine.version() === 3)
})

/** Guards against gateways that take an engine for warm although its health check says that it is cold, and against checks of engines that nobody limits. */
nodeTest.test('the agent finds out that its engine is cold, and gateways learn it from its heartbeat', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context, PIECES)
  fleet.configure((configuration) => { for (const service of configuration.services) if (service.name === 'llm') Object.assign(service, { coldS: 20, coldPerS: 5 }) })
  await fleet.startGateway(GATEWAY_HOST)
  const engine = await fleet.startEngine({ id: 'i-0', model: fleetTesting.MODEL, version: 1, digestsOf: fleet.origin.digestsOf })
  fillStage(fleet, engine, 1)
  engine.cold.remainingMs = 20_000
  await fleet.startAgent(AGENT_HOSTS[0], engine, [GATEWAY_HOST])
  await fleet.waitForStatus(({ coldBackEnds }) => coldBackEnds.length === 1)
  assert.equal(engine.cold.checks, 1)
})

nodeTest.test('without a limit for cold engines no health check is sent', async (context) => {
  const { engines } = await openAgents(context, [1, 1])
  await types.delay(SEVERAL_STEPS_MS)
  assert.deepEqual(engines.map(({ cold }) => cold.checks), [0, 0])
})

for (const spoilt of [0, 2]) {
  nodeTest.test(`an agent that is started again beside an engine with some layers of a version fetches only what the stage lacks (${spoilt} wrong pieces)`, LIMIT, async (context) => {
    const fleet = await fleetTesting.createTestFleet(context, PIECES)
    fleet.configure()
    announceVersion(fleet, 2)
    await fleet.startGateway(GATEWAY_HOST)
    const engine = await fleet.startEngine({ id: 'i-0', model: fleetTesting.MODEL, version: 0, digestsOf: fleet.origin.digestsOf })
    fillStage(fleet, engine, 2)
    await orderLayers(engine, { version: 2, source: 0, targetVersion: 3 })
    for (let piece = 1; piece <= spoilt; piece += 1) engine.stage.set(piece, Buffer.from('wrong'))
    await fleet.startAgent(AGENT_HOSTS[0], engine, [GATEWAY_HOST])
    await fleetTesting.waitUntil(() => engine.version() === 2)
    assertWholeOrders([engine])
    assert.equal(fleet.origin.sent(), spoilt)
  })
}

/** Orders an engine to load some layers, as an agent does that is killed afterwards, and waits until it holds them. */
async function orderLayers (engine: testing.EngineStandIn, layers: { readonly version: number, readonly source: number, readonly targetVersion: number }): Promise<void> {
  await testing.sendCallerRequest(engine.address, '', { method: 'POST', path: '/v1/order', id: 'order', body: JSON.stringify({ operation: 'start', model: fleetTesting.MODEL, method: 'queue', ...layers }) })
  await fleetTesting.waitUntil(() => engine.heldLayers()?.version === layers.version)
}
