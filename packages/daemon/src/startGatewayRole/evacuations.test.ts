/** Guards against calls that are sent to an evacuated data hall, and against evacuations that are lost: at a restart, with the store's history, and when the store returns from an older copy. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as clock from '@switchridge/clock'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOST = '127.0.0.1'
const KIND = platform.OBJECT_KINDS.evacuations
const HALLS = ['zone-a', 'zone-b'] as const
const OK = 200
const REFUSED = 503
const CALLS = 20
const UNREADABLE_MS = 500

interface OpenedFleet {
  readonly fleet: fleetTesting.TestFleet
  readonly engines: Readonly<Record<typeof HALLS[number], testing.EngineStandIn>>
  readonly startGateway: () => Promise<types.Address>
}

/** Opens a fleet with one engine in each of two halls. */
async function openFleet (context: nodeTest.TestContext): Promise<OpenedFleet> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const first = await fleet.startEngine({ id: 'i-a' }, 'api')
  const second = await fleet.startEngine({ id: 'i-b' }, 'api')
  fleet.store.put(platform.OBJECT_KINDS.backEnds, 'i-b', testing.describeEngine(second, 'api', HALLS[1]))
  return {
    fleet,
    engines: { 'zone-a': first, 'zone-b': second },
    startGateway: async () => await fleet.startGateway(HOST, [], clock.SYSTEM_CLOCKS, { bounds: 'evacuation_ms = 5000\n' })
  }
}

async function waitForEvacuations ({ fleet }: OpenedFleet, halls: readonly string[]): Promise<void> {
  await fleet.waitForStatus(({ evacuations }) => evacuations.map(({ hall }) => hall).join() === halls.join())
}

/** Sends calls and checks that all are answered by the engines of one hall. */
async function checkServedBy ({ engines }: OpenedFleet, gateway: types.Address, hall: typeof HALLS[number], name: string): Promise<void> {
  const answers = await Promise.all(Array.from({ length: CALLS }, async (_, index) => await fleetTesting.call(gateway, { path: '/read/x', id: `${name}-${index}` })))
  assert.deepEqual(answers.filter(({ status }) => status !== OK), [])
  assert.equal(engines[hall].arrivals.filter(({ requestId }) => requestId.startsWith(`${name}-`)).length, CALLS)
}

nodeTest.test('calls go to other halls while one is evacuated, are refused while all are, and return', async (context) => {
  const opened = await openFleet(context)
  const { fleet, engines } = opened
  const gateway = await opened.startGateway()
  await fleetTesting.waitUntilServed(gateway, '/read/probe')
  fleet.store.put(KIND, 'zone-a', {})
  await waitForEvacuations(opened, ['zone-a'])
  await checkServedBy(opened, gateway, 'zone-b', 'one')
  fleet.store.put(KIND, 'zone-b', {})
  await waitForEvacuations(opened, ['zone-a', 'zone-b'])
  const refused = await fleetTesting.call(gateway, { path: '/read/x', id: 'all-1' })
  assert.equal(refused.status, REFUSED)
  assert.match(refused.body, /^evacuated: /)
  assert.equal(await fleet.readCounter(HOST, 'calls_excluded', 'evacuated'), 1)
  for (const engine of Object.values(engines)) assert.ok(!engine.arrivals.some(({ requestId }) => requestId === 'all-1'))
  fleet.store.remove(KIND, 'zone-a')
  await waitForEvacuations(opened, ['zone-b'])
  await checkServedBy(opened, gateway, 'zone-a', 'back')
})

nodeTest.test('a call that runs in a hall when it is evacuated ends there normally', async (context) => {
  const opened = await openFleet(context)
  const { fleet } = opened
  const engine = await fleet.startEngine({ id: 'i-slow', model: fleetTesting.MODEL, version: 1, events: 5, eventMs: 200 })
  const gateway = await opened.startGateway()
  await fleetTesting.waitUntilServed(gateway, '/read/probe')
  await fleet.waitForStatus(({ backEnds }) => backEnds.length === 3)
  const running = fleetTesting.callService(gateway, fleetTesting.STREAM_SERVICE, 'running')
  await fleetTesting.waitUntil(() => engine.arrivals.some(({ requestId }) => requestId === 'running'))
  fleet.store.put(KIND, 'zone-a', {})
  await waitForEvacuations(opened, ['zone-a'])
  const answer = await running
  assert.equal(answer.status, OK)
  assert.ok(answer.isWhole)
  assert.equal(engine.arrivals.filter(({ requestId }) => requestId === 'running').length, 1)
})

nodeTest.test('a gateway that starts is not ready before it has read the evacuations', async (context) => {
  const opened = await openFleet(context)
  const { fleet } = opened
  fleet.store.put(KIND, 'zone-a', {})
  fleet.store.faults.kinds = new Set([KIND])
  fleet.store.faults.down = 'busy'
  const gateway = await opened.startGateway()
  await fleet.waitForStatus(({ backEnds }) => backEnds.length === 2)
  await types.delay(UNREADABLE_MS)
  const readiness = await testing.sendCallerRequest({ host: HOST, port: fleet.ports.readiness }, fleetTesting.API_KEY, { path: platform.READINESS_PATH, id: 'readiness' })
  assert.equal(readiness.status, REFUSED)
  fleet.store.faults.down = 'none'
  await fleet.waitUntilReady(HOST)
  await checkServedBy(opened, gateway, 'zone-b', 'started')
})

nodeTest.test('an evacuation that was compacted away from the history is found by listing again', async (context) => {
  const opened = await openFleet(context)
  const { fleet } = opened
  const gateway = await opened.startGateway()
  await fleetTesting.waitUntilServed(gateway, '/read/probe')
  fleet.store.faults.dropsWatchEvents = true
  fleet.store.put(KIND, 'zone-a', {})
  fleet.store.compact()
  fleet.store.faults.dropsWatchEvents = false
  await waitForEvacuations(opened, ['zone-a'])
  await checkServedBy(opened, gateway, 'zone-b', 'listed')
})

nodeTest.test('evacuations follow the store when it returns from an older copy', async (context) => {
  const opened = await openFleet(context)
  const { fleet } = opened
  await opened.startGateway()
  const copy = fleet.store.copy()
  fleet.store.put(KIND, 'zone-a', {})
  await waitForEvacuations(opened, ['zone-a'])
  fleet.store.restore(copy)
  fleet.store.put(KIND, 'zone-b', {})
  await waitForEvacuations(opened, ['zone-b'])
})

nodeTest.test('without a bound in the settings evacuations are not read, and calls go on', async (context) => {
  const opened = await openFleet(context)
  const { fleet } = opened
  fleet.store.put(KIND, 'zone-a', {})
  fleet.store.put(KIND, 'zone-b', {})
  const gateway = await fleet.startGateway(HOST)
  await fleetTesting.waitUntilServed(gateway, '/read/probe')
  await fleet.waitForStatus(({ evacuations, copies }) => evacuations.length === 0 && copies[KIND] === undefined)
})
