/** Guards against calls that are sent to a back end after its answers have announced that it is about to end, while the store still lists it as ready. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as membership from '@switchridge/membership'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOSTS = ['127.0.0.1', '127.0.0.2', '127.0.0.3'] as const
const AGENT_HOSTS = ['127.0.0.11', '127.0.0.12'] as const
const CALLS = 30
/** Fewer than half of the slots of one back end, so that none is refused for its load. */
const CALLS_AT_A_TIME = 6
const OK = 200
const SERVICE_UNAVAILABLE = 503

const { STREAM_SERVICE: STREAMS, PLAIN_SERVICE: PLAIN, callService: send } = fleetTesting

/** Sends calls until the back end has answered one. */
async function callUntilArrived (gateway: types.Address, service: fleetTesting.TestService, engine: testing.EngineStandIn): Promise<void> {
  const before = engine.arrivals.length
  let sent = 0
  await fleetTesting.waitWithLimit(async () => {
    await send(gateway, service, `until-${sent++}`)
    return engine.arrivals.length > before
  })
}

async function sendCalls (gateways: readonly types.Address[], service: fleetTesting.TestService): Promise<number[]> {
  const statuses: number[] = []
  for (let sent = 0; sent < CALLS; sent += CALLS_AT_A_TIME) {
    const answers = await Promise.all(Array.from({ length: CALLS_AT_A_TIME }, async (_, index) => await send(gateways[index % gateways.length] as types.Address, service, `call-${sent + index}`)))
    statuses.push(...answers.map(({ status }) => status))
  }
  return statuses
}

for (const service of [STREAMS, PLAIN]) {
  for (const fault of ['none', 'full', 'error'] as const) {
    nodeTest.test(`a back end of ${service.name} that announces its end gets no further call of the gateway, answer: ${fault}`, async (context) => {
      const fleet = await fleetTesting.createTestFleet(context)
      fleet.configure()
      const leaver = await fleet.startEngine({ id: 'i-leaver', ...service.engine }, service.name)
      await fleet.startEngine({ id: 'i-other', ...service.engine }, service.name)
      const gateway = await fleet.startGateway(HOSTS[0])
      await callUntilArrived(gateway, service, leaver)
      leaver.leaving.isAnnounced = true
      Object.assign(leaver.faults, { next: fault, count: 1 })
      await callUntilArrived(gateway, service, leaver)
      const before = leaver.arrivals.length
      const statuses = await sendCalls([gateway], service)
      assert.equal(leaver.arrivals.length - before, 0)
      assert.deepEqual(statuses.filter((status) => status !== OK), [])
    })
  }
}

nodeTest.test('a back end that announces its end stays without calls when its entry vanishes from the store and returns as ready', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const leaver = await fleet.startEngine({ id: 'i-leaver' }, PLAIN.name)
  const gateway = await fleet.startGateway(HOSTS[0])
  await callUntilArrived(gateway, PLAIN, leaver)
  leaver.leaving.isAnnounced = true
  await callUntilArrived(gateway, PLAIN, leaver)
  fleet.store.remove(platform.OBJECT_KINDS.backEnds, 'i-leaver')
  await fleet.startEngine({ id: 'i-other' }, PLAIN.name)
  await fleetTesting.waitUntilServed(gateway, PLAIN.path)
  fleet.store.put(platform.OBJECT_KINDS.backEnds, 'i-leaver', testing.describeEngine(leaver, PLAIN.name, 'zone-a'))
  await fleet.waitForStatus(({ backEnds }) => backEnds.length === 2)
  const before = leaver.arrivals.length
  await sendCalls([gateway], PLAIN)
  assert.equal(leaver.arrivals.length - before, 0)
})

nodeTest.test('gateways that have no answer of a back end yet learn from another gateway that it announced its end', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const leaver = await fleet.startEngine({ id: 'i-leaver' }, PLAIN.name)
  await fleet.startEngine({ id: 'i-other' }, PLAIN.name)
  const gateways: types.Address[] = []
  for (const host of HOSTS) gateways.push(await fleet.startGateway(host, [HOSTS[0]]))
  for (const gateway of gateways) await fleetTesting.waitUntilServed(gateway, PLAIN.path)
  leaver.leaving.isAnnounced = true
  await callUntilArrived(gateways[0] as types.Address, PLAIN, leaver)
  await fleet.waitForStatus(({ backEnds }) => backEnds.some(({ id, isLeaving }) => id === 'i-leaver' && isLeaving))
  const before = leaver.arrivals.length
  await sendCalls(gateways, PLAIN)
  assert.equal(leaver.arrivals.length - before, 0)
})

nodeTest.test('calls of a service whose back ends have all announced their end are refused at once with a retry time', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const leaver = await fleet.startEngine({ id: 'i-leaver' }, PLAIN.name)
  const gateway = await fleet.startGateway(HOSTS[0])
  await callUntilArrived(gateway, PLAIN, leaver)
  leaver.leaving.isAnnounced = true
  await callUntilArrived(gateway, PLAIN, leaver)
  const answer = await send(gateway, PLAIN, 'refused')
  assert.equal(answer.status, SERVICE_UNAVAILABLE)
  assert.ok(Number(answer.headers['retry-after']) > 0)
})

nodeTest.test('a call that runs at a back end when that announces its end is answered whole', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const leaver = await fleet.startEngine({ id: 'i-leaver', model: fleetTesting.MODEL, version: 1, events: 10, eventMs: 20 })
  const gateway = await fleet.startGateway(HOSTS[0])
  await callUntilArrived(gateway, STREAMS, leaver)
  const before = leaver.arrivals.length
  const running = send(gateway, STREAMS, 'running')
  await fleetTesting.waitUntil(() => leaver.arrivals.length > before)
  leaver.leaving.isAnnounced = true
  assert.equal((await send(gateway, STREAMS, 'told')).status, OK)
  assert.equal((await running).status, OK)
  assert.equal(leaver.cancelled(), 0)
})

nodeTest.test('an agent tells gateways that its engine leaves', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const leaver = await fleet.startEngine({ id: 'i-leaver', host: AGENT_HOSTS[0], model: fleetTesting.MODEL, version: 1 })
  await fleet.startEngine({ id: 'i-other', model: fleetTesting.MODEL, version: 1 })
  const gateway = await fleet.startGateway(HOSTS[0], [AGENT_HOSTS[0]])
  await fleet.startAgent(AGENT_HOSTS[0], leaver, [HOSTS[0]])
  await fleetTesting.waitUntilServed(gateway, '/stream/probe')
  leaver.leaving.isAnnounced = true
  await fleet.waitForStatus(({ backEnds }) => backEnds.some(({ id, isLeaving }) => id === 'i-leaver' && isLeaving))
  const before = leaver.arrivals.length
  await sendCalls([gateway], STREAMS)
  assert.equal(leaver.arrivals.length - before, 0)
})

/** Returns a version that the given agent's engine would change to before all others. */
function findVersionWithFirstTurn (node: string): number {
  const nodes = AGENT_HOSTS.map((host) => `agent-${host}`)
  let version = 2
  while (membership.rankByRendezvous(`turn/${version}`, nodes, (each) => each)[0] !== node) version += 1
  return version
}

nodeTest.test('an agent gives no new weights to an engine that leaves, and others do not depend on it for pieces', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engines = await Promise.all(AGENT_HOSTS.map(async (host) => await fleet.startEngine({ id: `i-${host}`, host, model: fleetTesting.MODEL, version: 1, digestsOf: fleet.origin.digestsOf })))
  const [leaver, other] = engines as [testing.EngineStandIn, testing.EngineStandIn]
  leaver.leaving.isAnnounced = true
  await fleet.startGateway(HOSTS[0], AGENT_HOSTS)
  const agents = await Promise.all(engines.map(async (engine, index) => await fleet.startAgent(AGENT_HOSTS[index] as string, engine, [HOSTS[0]])))
  await fleetTesting.waitUntil(() => agents.every((agent) => agent.countPeers() === engines.length))
  const version = findVersionWithFirstTurn(`agent-${AGENT_HOSTS[0]}`)
  fleet.store.put(platform.OBJECT_KINDS.versions, fleetTesting.MODEL, { model: fleetTesting.MODEL, version })
  await fleetTesting.waitUntil(() => other.version() === version)
  assert.deepEqual(leaver.orders, [])
})
