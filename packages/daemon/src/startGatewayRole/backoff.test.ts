/** Guards against calls that are sent to a back end that has turned one of this gateway away and asked for a backoff. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOSTS = ['127.0.0.1', '127.0.0.2'] as const
const CALLS = 30
const OK = 200
const SERVICE_UNAVAILABLE = 503
/** Longer than any test runs. */
const LONG_BACKOFF_SECONDS = 60
const SHORT_BACKOFF_SECONDS = 1

const { STREAM_SERVICE: STREAMS, PLAIN_SERVICE: PLAIN, callService: send } = fleetTesting

/** Sends calls until the back end has turned one away. */
async function callUntilTurnedAway (gateway: types.Address, service: fleetTesting.TestService, engine: testing.EngineStandIn, seconds: number): Promise<void> {
  const before = engine.arrivals.length
  engine.backoff.text = String(seconds)
  Object.assign(engine.faults, { next: 'full', count: 1 })
  let sent = 0
  await fleetTesting.waitWithLimit(async () => {
    await send(gateway, service, `until-${sent++}`)
    return engine.arrivals.length > before
  })
}

async function sendInTurn (gateway: types.Address, service: fleetTesting.TestService): Promise<testing.CallerAnswer[]> {
  const answers: testing.CallerAnswer[] = []
  for (let call = 0; call < CALLS; call += 1) answers.push(await send(gateway, service, `call-${call}`))
  return answers
}

for (const service of [STREAMS, PLAIN]) {
  nodeTest.test(`a back end of ${service.name} that asks a gateway for a backoff gets none of its calls, first or second attempt`, async (context) => {
    const fleet = await fleetTesting.createTestFleet(context)
    fleet.configure()
    const asking = await fleet.startEngine({ id: 'i-asking', ...service.engine }, service.name)
    const other = await fleet.startEngine({ id: 'i-other', ...service.engine }, service.name)
    const gateway = await fleet.startGateway(HOSTS[0])
    await callUntilTurnedAway(gateway, service, asking, LONG_BACKOFF_SECONDS)
    const before = asking.arrivals.length
    Object.assign(other.faults, { next: 'full', count: 3 })
    const answers = await sendInTurn(gateway, service)
    assert.equal(asking.arrivals.length - before, 0)
    assert.equal(answers.filter(({ status }) => status === OK).length, CALLS - 3)
  })
}

nodeTest.test('calls whose back ends all ask for a backoff are refused at once with the shortest one left', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const first = await fleet.startEngine({ id: 'i-first' }, PLAIN.name)
  const second = await fleet.startEngine({ id: 'i-second' }, PLAIN.name)
  const gateway = await fleet.startGateway(HOSTS[0])
  await callUntilTurnedAway(gateway, PLAIN, first, LONG_BACKOFF_SECONDS)
  await callUntilTurnedAway(gateway, PLAIN, second, 2 * LONG_BACKOFF_SECONDS)
  const before = first.arrivals.length + second.arrivals.length
  const answer = await send(gateway, PLAIN, 'refused')
  const retryAfter = Number(answer.headers['retry-after'])
  assert.equal(answer.status, SERVICE_UNAVAILABLE)
  assert.ok(retryAfter > LONG_BACKOFF_SECONDS / 2 && retryAfter < 2 * LONG_BACKOFF_SECONDS, `retry after ${retryAfter} s`)
  assert.equal(first.arrivals.length + second.arrivals.length, before)
})

nodeTest.test('a back end gets calls again when the backoff that it asked for is over', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const asking = await fleet.startEngine({ id: 'i-asking' }, PLAIN.name)
  const gateway = await fleet.startGateway(HOSTS[0])
  await callUntilTurnedAway(gateway, PLAIN, asking, SHORT_BACKOFF_SECONDS)
  const turnedAwayAt = asking.arrivals.at(-1)?.at ?? 0
  await fleetTesting.waitUntilServed(gateway, PLAIN.path)
  assert.ok((asking.arrivals.at(-1)?.at ?? 0) - turnedAwayAt >= SHORT_BACKOFF_SECONDS * 1000)
})

nodeTest.test('a request for a backoff concerns only the gateway that was turned away', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const asking = await fleet.startEngine({ id: 'i-asking' }, PLAIN.name)
  const gateways: types.Address[] = []
  for (const host of HOSTS) gateways.push(await fleet.startGateway(host, [HOSTS[0]]))
  await callUntilTurnedAway(gateways[0] as types.Address, PLAIN, asking, LONG_BACKOFF_SECONDS)
  assert.equal((await send(gateways[1] as types.Address, PLAIN, 'other')).status, OK)
})

nodeTest.test('other gateways prefer back ends that did not ask for a backoff, without having been turned away', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const asking = await fleet.startEngine({ id: 'i-asking' }, PLAIN.name)
  await fleet.startEngine({ id: 'i-other' }, PLAIN.name)
  const gateways: types.Address[] = []
  for (const host of HOSTS) gateways.push(await fleet.startGateway(host, [HOSTS[0]]))
  for (const gateway of gateways) await fleetTesting.waitUntilServed(gateway, PLAIN.path)
  await callUntilTurnedAway(gateways[0] as types.Address, PLAIN, asking, LONG_BACKOFF_SECONDS)
  await fleetTesting.waitUntil(async () => {
    const before = asking.arrivals.length
    const answers = await Promise.all(Array.from({ length: 6 }, async (_, index) => await send(gateways[1] as types.Address, PLAIN, `avoiding-${index}`)))
    assert.ok(answers.every(({ status }) => status === OK))
    return asking.arrivals.length === before
  })
})

nodeTest.test('a back end that vanishes from the store and returns still gets no calls of the gateway that it asked for a backoff', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const asking = await fleet.startEngine({ id: 'i-asking' }, PLAIN.name)
  const gateway = await fleet.startGateway(HOSTS[0])
  await callUntilTurnedAway(gateway, PLAIN, asking, LONG_BACKOFF_SECONDS)
  fleet.store.remove(platform.OBJECT_KINDS.backEnds, 'i-asking')
  await fleet.startEngine({ id: 'i-other' }, PLAIN.name)
  await fleetTesting.waitUntilServed(gateway, PLAIN.path)
  fleet.store.put(platform.OBJECT_KINDS.backEnds, 'i-asking', testing.describeEngine(asking, PLAIN.name, 'zone-a'))
  await fleet.waitForStatus(({ backEnds }) => backEnds.length === 2)
  const before = asking.arrivals.length
  await sendInTurn(gateway, PLAIN)
  assert.equal(asking.arrivals.length - before, 0)
})
