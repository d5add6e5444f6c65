/**
 * Guards against exceeding the request rate that a back end advertises in its responses. The limit holds for the sum of what all gateways send, which none of them knows, so no gateway
 * can keep it alone. When gateways ignored it, a back end with a limit of 1 a second got as many calls as its neighbours: 24 to 42 of 60 calls within four seconds from three gateways.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOSTS = ['127.0.0.1', '127.0.0.2', '127.0.0.3'] as const
const HEADERS = { model: fleetTesting.MODEL, 'token-count': '100,50' }
const CALLS_PER_GATEWAY = 20
const WINDOW_MS = 4000
const OK = 200
const ENGINE_ERROR = 500
const SERVICE_UNAVAILABLE = 503
const AGENT_HOST = '127.0.0.11'

interface LimitedFleet {
  readonly gateways: readonly types.Address[]
  readonly limited: testing.EngineStandIn
  readonly other: testing.EngineStandIn
}

/** Starts gateways and two engines, one of which advertises a limit in its responses. */
async function openLimitedFleet (context: nodeTest.TestContext, limit: string): Promise<LimitedFleet> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const limited = await fleet.startEngine({ id: 'i-limited', model: fleetTesting.MODEL, version: 1, events: 3 })
  const other = await fleet.startEngine({ id: 'i-other', model: fleetTesting.MODEL, version: 1, events: 3 })
  const gateways: types.Address[] = []
  for (const host of HOSTS) gateways.push(await fleet.startGateway(host, [HOSTS[0]]))
  for (const gateway of gateways) await fleetTesting.waitUntilServed(gateway, '/stream/probe')
  limited.limit.text = limit
  return { gateways, limited, other }
}

async function send (gateway: types.Address, id: string): Promise<testing.CallerAnswer> {
  return await fleetTesting.call(gateway, { method: 'POST', path: '/stream/quote', id, body: 'quote', headers: HEADERS })
}

/** Sends calls to each gateway until one reaches the limited engine, so that the gateway sees the limit; gives up after {@link CALLS_PER_GATEWAY} calls. */
async function waitUntilLimitSeen ({ gateways, limited }: LimitedFleet): Promise<void> {
  for (const [index, gateway] of gateways.entries()) {
    const before = limited.arrivals.length
    for (let attempt = 0; attempt < CALLS_PER_GATEWAY && limited.arrivals.length === before; attempt += 1) await send(gateway, `told-${index}-${attempt}`)
  }
}

/** The largest number of arrivals within any window of this length. */
function countPeakArrivals (arrivals: readonly testing.Arrival[], windowMs: number): number {
  return Math.max(0, ...arrivals.map((first) => arrivals.filter(({ at }) => at >= first.at && at < first.at + windowMs).length))
}

/** Upper bound of the calls within {@link WINDOW_MS}, which leaves room for bursts. */
function computeAllowed (perSecond: number): number {
  return 6 * perSecond + 5
}

nodeTest.test('a back end that advertises a limit gets no more calls than that from all gateways together', async (context) => {
  const fleet = await openLimitedFleet(context, '1')
  await waitUntilLimitSeen(fleet)
  const before = fleet.limited.arrivals.length
  const chains = fleet.gateways.map(async (gateway, index) => {
    const answers: testing.CallerAnswer[] = []
    for (let call = 0; call < CALLS_PER_GATEWAY; call += 1) answers.push(await send(gateway, `call-${index}-${call}`))
    return answers
  })
  const answers = (await Promise.all(chains)).flat()
  const arrivals = fleet.limited.arrivals.slice(before)
  context.diagnostic(`${arrivals.length} of ${answers.length} calls`)
  assert.ok(countPeakArrivals(arrivals, WINDOW_MS) <= computeAllowed(1), `${countPeakArrivals(arrivals, WINDOW_MS)} within four seconds, ${computeAllowed(1)} allowed`)
  assert.deepEqual(answers.filter(({ status }) => status !== OK), [])
})

nodeTest.test('calls that exceed the limits of all back ends are refused at once with a retry time, and are not run', async (context) => {
  const fleet = await openLimitedFleet(context, '1')
  fleet.other.limit.text = '1'
  await waitUntilLimitSeen(fleet)
  await waitUntilLimitSeen({ ...fleet, limited: fleet.other })
  const before = [fleet.limited, fleet.other].flatMap(({ arrivals }) => arrivals).length
  const answers: testing.CallerAnswer[] = []
  for (let call = 0; call < CALLS_PER_GATEWAY; call += 1) answers.push(await send(fleet.gateways[call % HOSTS.length] as types.Address, `call-${call}`))
  const served = answers.filter(({ status }) => status === OK)
  const refused = answers.filter(({ status }) => status === SERVICE_UNAVAILABLE)
  assert.equal(served.length + refused.length, CALLS_PER_GATEWAY)
  assert.ok(refused.length > 0)
  assert.ok(refused.every(({ headers }) => Number(headers['retry-after']) > 0))
  assert.equal([fleet.limited, fleet.other].flatMap(({ arrivals }) => arrivals).length - before, served.length)
})

nodeTest.test('a limit ends at all gateways when the back end stops advertising it', async (context) => {
  const fleet = await openLimitedFleet(context, '2')
  await waitUntilLimitSeen(fleet)
  fleet.limited.limit.text = null
  let sent = 0
  for (const gateway of fleet.gateways) {
    await fleetTesting.waitUntil(async () => {
      const before = fleet.limited.arrivals.length
      for (let call = 0; call < CALLS_PER_GATEWAY; call += 1) await send(gateway, `call-${sent++}`)
      return fleet.limited.arrivals.length - before > 4
    })
  }
})

nodeTest.test('the agent beside an engine counts calls for all gateways, which learn the limit from its reports', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const limited = await fleet.startEngine({ id: 'i-limited', model: fleetTesting.MODEL, version: 1, events: 3, host: AGENT_HOST })
  const other = await fleet.startEngine({ id: 'i-other', model: fleetTesting.MODEL, version: 1, events: 3 })
  limited.limit.text = '1'
  await fleet.startAgent(AGENT_HOST, limited, [HOSTS[0]])
  const gateways: types.Address[] = []
  for (const host of HOSTS) gateways.push(await fleet.startGateway(host, [HOSTS[0]]))
  await fleet.waitForRateLimits(1)
  for (const gateway of gateways) await fleetTesting.waitUntilServed(gateway, '/stream/probe')
  let sent = 0
  const before = limited.arrivals.length
  await fleetTesting.waitUntil(async () => {
    await Promise.all(gateways.map(async (gateway) => await send(gateway, `call-${sent++}`)))
    return limited.arrivals.length - before >= 3
  })
  assert.ok(countPeakArrivals(limited.arrivals, WINDOW_MS) <= computeAllowed(1))
  assert.ok(other.arrivals.length > limited.arrivals.length)
})

nodeTest.test('a gateway that restarts learns a limit from the others', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'i-limited', model: fleetTesting.MODEL, version: 1, events: 3 })
  const gateways: types.Address[] = []
  for (const host of HOSTS) gateways.push(await fleet.startGateway(host, [HOSTS[0]]))
  for (const gateway of gateways) await fleetTesting.waitUntilServed(gateway, '/stream/probe')
  engine.limit.text = '1'
  await send(gateways[0] as types.Address, 'naming')
  await fleet.waitForRateLimits(1)
  fleet.stopGateway(HOSTS[1])
  await fleet.startGateway(HOSTS[1], [HOSTS[0]])
  const before = engine.arrivals.length
  await fleet.waitForRateLimits(1)
  assert.equal(engine.arrivals.length, before)
})

nodeTest.test('the limit of a plain back end is kept, too', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const limited = await fleet.startEngine({ id: 'p-limited' }, 'api')
  await fleet.startEngine({ id: 'p-other' }, 'api')
  const gateways: types.Address[] = []
  for (const host of HOSTS) gateways.push(await fleet.startGateway(host, [HOSTS[0]]))
  for (const gateway of gateways) await fleetTesting.waitUntilServed(gateway, '/read/probe')
  limited.limit.text = '0.5'
  await fleetTesting.waitUntil(async () => {
    await fleetTesting.call(gateways[0] as types.Address, { path: '/read/naming', id: 'naming' })
    return limited.arrivals.some(({ path }) => path === '/read/naming')
  })
  await fleet.waitForRateLimits(1)
  const before = limited.arrivals.length
  const answers = await Promise.all(gateways.map(async (gateway, index) => {
    const statuses: number[] = []
    for (let call = 0; call < CALLS_PER_GATEWAY; call += 1) statuses.push((await fleetTesting.call(gateway, { path: '/read/x', id: `call-${index}-${call}` })).status)
    return statuses
  }))
  assert.deepEqual(answers.flat().filter((status) => status !== OK), [])
  assert.ok(countPeakArrivals(limited.arrivals.slice(before), WINDOW_MS) <= computeAllowed(0.5))
})

nodeTest.test('an error response without a limit does not end the limit in force', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'p-limited' }, 'api')
  const gateway = await fleet.startGateway(HOSTS[0])
  await fleetTesting.waitUntilServed(gateway, '/read/probe')
  engine.limit.text = '5'
  await fleetTesting.call(gateway, { path: '/read/naming', id: 'naming' })
  await fleet.waitForRateLimits(1)
  engine.limit.text = null
  Object.assign(engine.faults, { next: 'error', count: 1 })
  await fleetTesting.waitUntil(async () => (await fleetTesting.call(gateway, { path: '/read/error', id: 'error' })).status === ENGINE_ERROR)
  await fleet.waitForRateLimits(1)
  await fleetTesting.waitUntilServed(gateway, '/read/again')
  await fleet.waitForRateLimits(0)
})
