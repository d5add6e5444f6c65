/**
 * Guards against changes that are never heard of because the store came back from an older copy and gave them revisions that had been given out before: a back end that leaves, a new version of the
 * weights, a configuration. Also guards against returning to what the older copy holds.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOSTS = ['127.0.0.1', '127.0.0.2'] as const
const { backEnds: BACK_ENDS, versions: VERSIONS } = platform.OBJECT_KINDS
const PLAIN = 'api'
const OK = 200
const NOT_FOUND = 404
const SECOND_ERA = 2
/** Writes that the copy lacks; more of them follow, so that the store's revision passes those that the daemons know. */
const LOST_WRITES = 3
/** The store accepts writes again before the daemons do: their calls failed a moment ago. */
const AWAY_MS = 300

interface OpenedFleet {
  readonly fleet: fleetTesting.TestFleet
  readonly gateway: types.Address
}

async function openGateway (context: nodeTest.TestContext): Promise<OpenedFleet> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  await fleet.startEngine({ id: 'i-first' }, PLAIN)
  await fleet.startEngine({ id: 'i-second' }, PLAIN)
  const gateway = await fleet.startGateway(HOSTS[0])
  await fleetTesting.waitUntilServed(gateway, '/read/probe')
  return { fleet, gateway }
}

/** Writes objects of every kind, waits until the gateways know them, and returns to the copy from before that; `rewrite` is done in the store before the daemons reach it again. */
async function goBack ({ fleet }: OpenedFleet, rewrite: () => void, beforehand = (): void => {}): Promise<void> {
  const copy = fleet.store.copy()
  beforehand()
  for (let write = 0; write < LOST_WRITES; write += 1) {
    for (const kind of [BACK_ENDS, VERSIONS]) fleet.store.put(kind, `lost-${write}`, {})
  }
  await fleet.waitForRevision(VERSIONS, fleet.store.copy().revision)
  fleet.store.faults.down = 'reset'
  fleet.store.restore(copy)
  rewrite()
  for (let write = 0; write <= 2 * LOST_WRITES; write += 1) fleet.store.put('others', `other-${write}`, {})
  await types.delay(AWAY_MS)
  fleet.store.faults.down = 'none'
}

function describeDraining (engine: testing.EngineStandIn): unknown {
  return { ...testing.describeEngine(engine, PLAIN, 'zone-a') as object, state: 'draining' }
}

nodeTest.test('a back end that leaves while the store goes back gets no more calls', async (context) => {
  const opened = await openGateway(context)
  const leaver = await opened.fleet.startEngine({ id: 'i-leaver' }, PLAIN)
  await opened.fleet.waitForStatus(({ backEnds }) => backEnds.length === 3)
  await goBack(opened, () => { opened.fleet.store.put(BACK_ENDS, 'i-leaver', describeDraining(leaver)) })
  await opened.fleet.waitForStatus(({ backEnds }) => backEnds.some(({ id, isLeaving }) => id === 'i-leaver' && isLeaving))
})

nodeTest.test('a version that is named while the store goes back becomes known', async (context) => {
  const opened = await openGateway(context)
  await goBack(opened, () => { opened.fleet.store.put(VERSIONS, fleetTesting.MODEL, { model: fleetTesting.MODEL, version: 2 }) })
  await opened.fleet.waitForStatus(({ versions }) => versions.some(({ model, version }) => model === fleetTesting.MODEL && version === 2))
})

nodeTest.test('a back end that was known to leave stays without calls when the store goes back to when it was ready', async (context) => {
  const opened = await openGateway(context)
  const leaver = await opened.fleet.startEngine({ id: 'i-leaver' }, PLAIN)
  await opened.fleet.waitForStatus(({ backEnds }) => backEnds.length === 3)
  await goBack(opened, () => {}, () => { opened.fleet.store.put(BACK_ENDS, 'i-leaver', describeDraining(leaver)) })
  const before = leaver.arrivals.length
  await opened.fleet.waitForEra(BACK_ENDS, SECOND_ERA)
  for (let call = 0; call < 20; call += 1) assert.equal((await fleetTesting.call(opened.gateway, { path: '/read/x', id: `call-${call}` })).status, OK)
  assert.equal(leaver.arrivals.length, before)
})

nodeTest.test('a configuration is not replaced by the older one of the copy, and by the next one that operators write', async (context) => {
  const opened = await openGateway(context)
  const { fleet, gateway } = opened
  const addRoute = (name: string) => (configuration: testing.Configuration): void => {
    configuration.routes.push({ ...configuration.routes[0], name, pathPrefix: `/${name}/` })
  }
  await goBack(opened, () => {}, () => { fleet.configure(addRoute('added')) })
  await fleet.waitForEra(platform.OBJECT_KINDS.configuration, SECOND_ERA)
  for (let call = 0; call < 20; call += 1) {
    assert.notEqual((await fleetTesting.call(gateway, { path: '/added/x', id: `call-${call}` })).status, NOT_FOUND)
  }
  fleet.configure(addRoute('next'))
  await fleet.waitForAnswer(gateway, '/next/x', OK)
})

nodeTest.test('a gateway that the store turns away learns from others what changed after the store had gone back', async (context) => {
  const opened = await openGateway(context)
  const { fleet } = opened
  await fleet.startGateway(HOSTS[1], [HOSTS[0]])
  const leaver = await fleet.startEngine({ id: 'i-leaver' }, PLAIN)
  await fleet.waitForStatus(({ backEnds }) => backEnds.length === 3)
  await goBack(opened, () => {
    fleet.store.put(BACK_ENDS, 'i-leaver', describeDraining(leaver))
    fleet.store.faults.hosts = new Set([HOSTS[1]])
  })
  fleet.store.faults.down = 'reset'
  await fleet.waitForStatus(({ backEnds }) => backEnds.some(({ id, isLeaving }) => id === 'i-leaver' && isLeaving))
})
