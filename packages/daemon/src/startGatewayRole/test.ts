import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOST = '127.0.0.1'
const OTHER_HOST = '127.0.0.2'
/** Pays for the retry of a single stream, which the budget of a young gateway does not. */
const RETRY_BOUNDS = 'retry_ratio = 10\n'

interface OpenedGateway {
  readonly fleet: fleetTesting.TestFleet
  readonly address: types.Address
  readonly engines: readonly testing.EngineStandIn[]
}

/** Starts a gateway and two back ends of a plain service. */
async function openPlainService (context: nodeTest.TestContext): Promise<OpenedGateway> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engines = [await fleet.startEngine({ id: 'i-1' }, 'api'), await fleet.startEngine({ id: 'i-2' }, 'api')]
  const address = await fleet.startGateway(HOST)
  await fleetTesting.waitUntilServed(address, '/read/probe')
  return { fleet, address, engines }
}

/** Starts a gateway and two engines that answer with event streams. */
async function openStreamService (context: nodeTest.TestContext, events = 6, bounds = ''): Promise<OpenedGateway> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engines = [
    await fleet.startEngine({ id: 'i-1', model: fleetTesting.MODEL, version: 1, events }),
    await fleet.startEngine({ id: 'i-2', model: fleetTesting.MODEL, version: 1, events })
  ]
  const address = await fleet.startGateway(HOST, [], undefined, { bounds })
  await fleetTesting.waitUntilServed(address, '/stream/probe')
  return { fleet, address, engines }
}

function injectFault (engines: readonly testing.EngineStandIn[], next: testing.EngineFaults['next'], count = 1): void {
  for (const engine of engines) Object.assign(engine.faults, { next, count })
}

function arrivalsOf (engines: readonly testing.EngineStandIn[], id: string): testing.Arrival[] {
  return engines.flatMap((engine) => engine.arrivals.filter((arrival) => arrival.requestId === id)).sort((left, right) => left.at - right.at)
}

const STREAM_HEADERS = { model: fleetTesting.MODEL, 'token-count': '100,50' }

nodeTest.test('a call reaches an engine with its tenant and deadline, and without its API key', async (context) => {
  const { address, engines } = await openPlainService(context)
  const answer = await fleetTesting.call(address, {
    method: 'POST', path: '/write/1?x=%20y', id: 'w-1', body: 'order', headers: { tenant: 'forged', 'x-own': 'kept', connection: 'x-secret', 'x-secret': '1', 'deadline-remaining': '900' }
  })
  const [arrival] = arrivalsOf(engines, 'w-1')
  assert.equal(answer.status, 200)
  assert.match(String(answer.headers['engine-seal']), /^seal-i-/)
  assert.equal(arrival?.path, '/write/1?x=%20y')
  assert.equal(arrival?.body, 'order')
  assert.equal(arrival?.headers['tenant'], 'tenant-one')
  assert.equal(arrival?.headers['x-own'], 'kept')
  assert.equal(arrival?.headers['x-secret'], undefined)
  assert.equal(arrival?.headers.authorization, undefined)
  const remaining = Number(arrival?.headers['deadline-remaining'])
  assert.ok(remaining > 0 && remaining <= 900)
})

nodeTest.test('unknown API keys, unknown routes and oversized bodies are refused, and public routes need no key', async (context) => {
  const { address } = await openPlainService(context)
  assert.equal((await fleetTesting.call(address, { path: '/read/1', id: 'a', headers: { authorization: 'Bearer wrong' } })).status, 401)
  assert.equal((await fleetTesting.call(address, { path: '/nowhere/1', id: 'b' })).status, 404)
  assert.equal((await fleetTesting.call(address, { path: '/open/1', id: 'c', headers: { authorization: 'Bearer wrong' } })).status, 200)
  assert.equal((await fleetTesting.call(address, { method: 'POST', path: '/write/1', id: 'd', body: 'x'.repeat(20_000) })).status, 413)
})

nodeTest.test('without a configuration the answer is 503, never 404 or 401', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  const address = await fleet.startGateway(HOST)
  const answer = await fleetTesting.call(address, { path: '/read/1', id: 'a' })
  assert.equal(answer.status, 503)
  assert.ok(Number(answer.headers['retry-after']) > 0)
})

for (const fault of ['reset', 'foreign', 'garbage', 'cut', 'unframed-reset'] as const) {
  nodeTest.test(`a non-idempotent call is sent only once when its response is lost (${fault})`, async (context) => {
    const { address, engines } = await openPlainService(context)
    injectFault(engines, fault)
    const answer = await fleetTesting.call(address, { method: 'POST', path: '/write/1', id: 'w-1', body: 'order' })
    assert.equal(answer.status, 502)
    assert.equal(answer.headers['engine-seal'], undefined)
    assert.equal(arrivalsOf(engines, 'w-1').length, 1)
  })

  nodeTest.test(`a repeatable call is retried at another back end when its response is lost (${fault})`, async (context) => {
    const { address, engines } = await openPlainService(context)
    for (let index = 0; index < 30; index += 1) await fleetTesting.call(address, { path: '/read/1', id: `fill-${index}` })
    injectFault([engines[0] as testing.EngineStandIn], fault, 2)
    const answers = await Promise.all([1, 2].map(async (index) => await fleetTesting.call(address, { path: '/read/1', id: `r-${index}` })))
    for (const answer of answers) assert.equal(answer.status, 200)
  })
}

nodeTest.test('a call that no engine ran is answered 503 with a retry time', async (context) => {
  const { address, engines } = await openPlainService(context)
  injectFault(engines, 'full', 5)
  const answer = await fleetTesting.call(address, { method: 'POST', path: '/write/1', id: 'w-1', body: 'order' })
  assert.equal(answer.status, 503)
  assert.ok(Number(answer.headers['retry-after']) > 0)
  assert.ok(arrivalsOf(engines, 'w-1').every((arrival) => !arrival.ran))
})

nodeTest.test('an engine that does not respond leads to 504 at the deadline', async (context) => {
  const { address, engines } = await openPlainService(context)
  injectFault(engines, 'mute')
  const answer = await fleetTesting.call(address, { method: 'POST', path: '/write/1', id: 'w-1', body: 'order', headers: { 'deadline-remaining': '300' } })
  assert.equal(answer.status, 504)
})

nodeTest.test('an engine\'s own error is passed on with its seal, and a response without framing headers is passed on completely', async (context) => {
  const { address, engines } = await openPlainService(context)
  injectFault(engines, 'error')
  const failed = await fleetTesting.call(address, { method: 'POST', path: '/write/1', id: 'w-1', body: 'order' })
  assert.equal(failed.status, 500)
  assert.match(String(failed.headers['engine-seal']), /^seal-i-/)
  injectFault(engines, 'unframed')
  const unframed = await fleetTesting.call(address, { method: 'POST', path: '/write/1', id: 'w-2', body: 'order' })
  assert.equal(unframed.status, 200)
  assert.match(unframed.body, /to w-2$/)
  assert.equal(unframed.headers['content-length'], String(unframed.body.length))
  assert.equal(unframed.headers['transfer-encoding'], undefined)
})

nodeTest.test('a surplus response on a connection is not given to the next call', async (context) => {
  const { address, engines } = await openPlainService(context)
  injectFault(engines, 'extra', 3)
  for (const id of ['w-1', 'w-2', 'w-3', 'w-4']) {
    const answer = await fleetTesting.call(address, { method: 'POST', path: '/write/1', id, body: 'order' })
    assert.match(answer.body, new RegExp(`to ${id}$`))
  }
})

/**
 * Guards against late calls delaying the others: when all machines come back at once, callers that were refused before retry at the same moment, and if they are served
 * first, most calls of the first two seconds are late although the engines are fast.
 */
nodeTest.test('a call that is already late is sent to an engine with lower urgency, and a stream that has begun is not', async (context) => {
  const { address, engines } = await openStreamService(context, undefined, RETRY_BOUNDS)
  const send = async (id: string, remaining: string): Promise<unknown> => await fleetTesting.call(address, { path: '/stream/1', id, headers: { ...STREAM_HEADERS, 'deadline-remaining': remaining } })
  await send('s-first', '2000')
  await send('s-late', '1200')
  const urgencies = (id: string): unknown[] => arrivalsOf(engines, id).map((arrival) => arrival.headers['request-urgency'])
  assert.deepEqual(urgencies('s-first'), [undefined])
  assert.deepEqual(urgencies('s-late'), ['8'])
  injectFault(engines, 'cut')
  await send('s-moved', '1200')
  assert.deepEqual(urgencies('s-moved'), ['8', undefined], 'its caller waits for the next event')
})

for (const fault of ['cut', 'torn', 'reset'] as const) {
  nodeTest.test(`a stream continues at another engine without missing or duplicate events (${fault})`, async (context) => {
    const { address, engines } = await openStreamService(context)
    for (let index = 0; index < 20; index += 1) await fleetTesting.call(address, { path: '/stream/1', id: `fill-${index}`, headers: STREAM_HEADERS })
    injectFault([engines[0] as testing.EngineStandIn], fault, 2)
    const answers = await Promise.all([1, 2, 3].map(async (index) => await fleetTesting.call(address, { path: '/stream/1', id: `s-${index}`, headers: STREAM_HEADERS })))
    for (const answer of answers) {
      assert.equal(answer.status, 200)
      assert.ok(answer.isWhole)
      assert.deepEqual([...answer.body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1])), [1, 2, 3, 4, 5, 6])
    }
  })
}

nodeTest.test('a call is cancelled at the engine when its caller disconnects', async (context) => {
  const { address, engines } = await openStreamService(context, 1000)
  await fleetTesting.call(address, { path: '/stream/1', id: 's-1', headers: STREAM_HEADERS, abortAfterMs: 100 })
  await fleetTesting.waitUntil(() => engines.some((engine) => engine.cancelled() > 0))
})

nodeTest.test('an engine that was removed from the store gets no new calls', async (context) => {
  const { fleet, address, engines } = await openPlainService(context)
  const [first, second] = engines as [testing.EngineStandIn, testing.EngineStandIn]
  fleet.store.remove('servers', first.id)
  await fleetTesting.waitUntil(async () => {
    const before = first.arrivals.length
    for (let index = 0; index < 6; index += 1) await fleetTesting.call(address, { path: '/read/1', id: `r-${index}` })
    return first.arrivals.length === before
  })
  assert.ok(second.arrivals.length > 0)
})

nodeTest.test('after the deadline for a version change no call goes to an older version, and callers get a retry time', async (context) => {
  const { fleet, address, engines } = await openStreamService(context)
  fleet.store.put('versions', fleetTesting.MODEL, { model: fleetTesting.MODEL, version: 2 })
  await fleetTesting.waitUntil(async () => (await fleetTesting.call(address, { path: '/stream/1', id: 's', headers: STREAM_HEADERS })).status === 503)
  const before = engines.map((engine) => engine.arrivals.length)
  const answer = await fleetTesting.call(address, { path: '/stream/1', id: 's-1', headers: STREAM_HEADERS })
  assert.equal(answer.status, 503)
  assert.ok(Number(answer.headers['retry-after']) > 0)
  assert.deepEqual(engines.map((engine) => engine.arrivals.length), before)
})

for (const down of ['busy', 'silent', 'reset'] as const) {
  nodeTest.test(`a gateway that cannot read the store gets the configuration from its peers (${down})`, async (context) => {
    const fleet = await fleetTesting.createTestFleet(context)
    fleet.configure()
    await fleet.startEngine({ id: 'i-1' }, 'api')
    const first = await fleet.startGateway(HOST)
    const second = await fleet.startGateway(OTHER_HOST, [HOST])
    await fleetTesting.waitUntilServed(first, '/read/1')
    await fleetTesting.waitUntilServed(second, '/read/1')
    Object.assign(fleet.store.faults, { down, hosts: new Set([OTHER_HOST]) })
    fleet.configure((configuration) => { configuration.tenants = [{ name: 'tenant-two', apiKeys: ['another-key'], priority: 1 }] })
    await fleetTesting.waitUntil(async () => (await fleetTesting.call(second, { path: '/read/1', id: 'a' })).status === 401)
  })
}

nodeTest.test('a change that was compacted away from the watch history is found by listing again', async (context) => {
  const { fleet, address } = await openPlainService(context)
  fleet.store.faults.dropsWatchEvents = true
  fleet.configure((configuration) => { configuration.routes = configuration.routes.filter((route) => route['name'] !== 'read') })
  fleet.store.compact()
  fleet.store.faults.dropsWatchEvents = false
  await fleetTesting.waitUntil(async () => (await fleetTesting.call(address, { path: '/read/1', id: 'a' })).status === 404)
})

nodeTest.test('an invalid configuration leaves the last valid one in force', async (context) => {
  const { fleet, address } = await openPlainService(context)
  fleet.store.put('config', 'main', { version: 9, routes: 'none' })
  fleet.configure()
  fleet.store.put('config', 'main', { version: 11 })
  assert.equal((await fleetTesting.call(address, { path: '/read/1', id: 'a' })).status, 200)
})

nodeTest.test('a draining gateway refuses new calls so that they go to another one, and ends its last calls with a response', async (context) => {
  const { fleet, address, engines } = await openPlainService(context)
  const endlessMs = 600_000
  fleet.configure((configuration) => { for (const route of configuration.routes) route['timeoutMs'] = endlessMs })
  fleet.configure((configuration) => { configuration.routes.push({ ...configuration.routes[0], name: 'after', pathPrefix: '/after/' }) })
  await fleetTesting.waitUntilServed(address, '/after/probe')
  injectFault(engines, 'mute')
  const waiting = fleetTesting.call(address, { method: 'POST', path: '/write/last', id: 'w-last', headers: { 'deadline-remaining': String(endlessMs) } })
  await fleetTesting.waitUntil(() => arrivalsOf(engines, 'w-last').length > 0)
  const draining = fleet.drainGateway(HOST)
  const late = await fleetTesting.call(address, { path: '/read/late', id: 'r-late' })
  assert.equal(late.status, 503)
  assert.equal(late.headers['retry-after'], '0.02')
  assert.equal(late.headers.connection, 'close')
  assert.equal(arrivalsOf(engines, 'r-late').length, 0)
  const last = await waiting
  assert.equal(last.status, 504)
  await draining
})
