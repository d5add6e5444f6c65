/** A call that a gateway would refuse because of its predicted lateness is served if the agent beside an engine reserves a free slot for it. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const GATEWAY_HOST = '127.0.0.1'
const AGENT_HOST = '127.0.0.11'
const HEADERS = { model: fleetTesting.MODEL, 'token-count': '100,50' }
/** Far later than predicted, so that the gateway learns to expect late calls. */
const FIRST_EVENT_MS = 600
const BATCHES = 4
const CALLS_PER_BATCH = 7
/** Half of the engine's slots: from this load on, the gateway no longer accepts calls regardless of their predicted lateness. */
const HALF_OF_SLOTS = 8
const ALL_SLOTS = 16
const OK = 200
const SERVICE_UNAVAILABLE = 503

async function callStream (gateway: types.Address, id: string): Promise<number> {
  return (await fleetTesting.call(gateway, { method: 'POST', path: '/stream/quote', id, body: 'quote', headers: HEADERS })).status
}

nodeTest.test('a call is served when an agent reserves a slot for it, and refused when the engine is full', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'i-engine', host: AGENT_HOST, model: fleetTesting.MODEL, version: 1, events: 1, eventMs: FIRST_EVENT_MS })
  const gateway = await fleet.startGateway(GATEWAY_HOST, [AGENT_HOST])
  await fleet.startAgent(AGENT_HOST, engine, [GATEWAY_HOST])
  await fleetTesting.waitUntilServed(gateway, '/stream/probe')
  for (let batch = 0; batch < BATCHES; batch += 1) {
    await Promise.all(Array.from({ length: CALLS_PER_BATCH }, async (_, index) => await callStream(gateway, `late-${batch}-${index}`)))
  }

  engine.load.running = HALF_OF_SLOTS
  const statuses = new Set<number>()
  for (let number = 0; !statuses.has(SERVICE_UNAVAILABLE) && await fleet.readCounter(GATEWAY_HOST, 'slots_asked', 'reserved') === 0; number += 1) {
    statuses.add(await callStream(gateway, `reserved-${number}`))
  }
  assert.deepEqual([...statuses], [OK])

  engine.load.running = ALL_SLOTS
  let status = OK
  for (let number = 0; status === OK; number += 1) status = await callStream(gateway, `refused-${number}`)
  assert.equal(status, SERVICE_UNAVAILABLE)
  assert.ok(await fleet.readCounter(GATEWAY_HOST, 'slots_asked', 'refused') > 0)
})
