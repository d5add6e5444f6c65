/** A call that arrives while the only engine loads its weights is held until the engine serves, as its agent states. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const GATEWAY_HOST = '127.0.0.1'
const AGENT_HOST = '127.0.0.11'
const HEADERS = { model: fleetTesting.MODEL, 'token-count': '100,50', 'deadline-remaining': '6000' }
const TIMEOUT_MS = 6000
/** The origin would need 3.3 s for a copy at this rate, longer than half of the timeout; it is not that slow in this test. */
const LINK_MBPS = 0.01
/** Longer than a gateway that has just started holds no calls. */
const LOAD_MS = 4500
const SETTLED_MS = 2000
const CALLS = 5
const WAITING = 'maximum_calls = 256\n'
const OK = 200

/** Guards against parts that are not connected: the agent's estimate, its heartbeat, the forecast, the queue and the reservation of a slot. */
nodeTest.test('calls are held while the only engine loads its weights, and served then', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure((configuration) => {
    for (const route of configuration.routes) route['timeoutMs'] = TIMEOUT_MS
    for (const service of configuration.services) if (service['linkMbps'] !== undefined) service['linkMbps'] = LINK_MBPS
  })
  fleet.store.put('versions', fleetTesting.MODEL, { model: fleetTesting.MODEL, version: 1 })
  const engine = await fleet.startEngine({ id: 'i-engine', host: AGENT_HOST, model: fleetTesting.MODEL, version: 0, digestsOf: fleet.origin.digestsOf, switchMs: LOAD_MS })
  const gateway = await fleet.startGateway(GATEWAY_HOST, [AGENT_HOST], undefined, { waiting: WAITING })
  await fleet.startAgent(AGENT_HOST, engine, [GATEWAY_HOST], { waiting: WAITING })
  await types.delay(SETTLED_MS)
  assert.equal(engine.version(), 0)
  const answers = await Promise.all(Array.from({ length: CALLS }, async (_, number) => await fleetTesting.call(gateway, { method: 'POST', path: '/stream/quote', id: `call-${number}`, body: 'quote', headers: HEADERS })))
  assert.deepEqual(answers.map(({ status }) => status), Array.from({ length: CALLS }, () => OK), answers.map(({ body }) => body).join())
  assert.equal(engine.version(), 1)
  assert.equal(await fleet.readCounter(GATEWAY_HOST, 'calls_unqueued', 'served'), CALLS)
})
