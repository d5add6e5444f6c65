/** Guards against streams that go on at engines that can't resume them once the configuration that they began with has been replaced. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as testing from '@switchridge/platform-testing'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOST = '127.0.0.32'
const STREAMS = 10
const EVENTS = 6
/** An engine that cuts a stream does so at its third event, after the change of the configuration is in force. */
const EVENT_MS = 500
const TIMEOUT_MS = 8000
const LIMIT = { timeout: 60_000 }

nodeTest.test('streams whose service is removed are resumed only at an engine with their version of the weights', LIMIT, async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure((configuration) => {
    for (const route of configuration.routes) if (testing.isStreamRoute(route)) Object.assign(route, { timeoutMs: TIMEOUT_MS, targetLatencyMs: 3000, maxAttempts: 2 })
  })
  const shape = { ...fleetTesting.STREAM_SERVICE.engine, events: EVENTS, eventMs: EVENT_MS }
  const cutting = await fleet.startEngine({ id: 'i-cutting', ...shape })
  Object.assign(cutting.faults, { next: 'cut', count: STREAMS })
  const gateway = await fleet.startGateway(HOST, [], undefined, { bounds: 'retry_ratio = 10\n' })
  await fleet.waitUntilReady(HOST)
  const answered = Promise.all(Array.from({ length: STREAMS }, async (_, index) => await fleetTesting.call(gateway, { method: 'POST', path: fleetTesting.STREAM_SERVICE.path, id: `removed-${index}`, body: 'quote', headers: { ...testing.formatModelHeaders(fleetTesting.MODEL), 'deadline-remaining': String(TIMEOUT_MS) } })))
  await fleetTesting.waitWithLimit(async () => cutting.arrivals.length === STREAMS)
  const other = await fleet.startEngine({ id: 'i-other', ...shape, version: 2 })
  const same = await fleet.startEngine({ id: 'i-same', ...shape })
  fleet.configure((configuration) => {
    configuration.routes = configuration.routes.filter((route) => !testing.isStreamRoute(route))
    configuration.services = configuration.services.filter(({ name }) => name !== fleetTesting.STREAM_SERVICE.name)
  })
  await fleet.waitForAnswer(gateway, fleetTesting.STREAM_SERVICE.path, 404)
  const answers = await answered
  assert.deepEqual(answers.map(({ status, isWhole }) => ({ status, isWhole })), answers.map(() => ({ status: 200, isWhole: true })))
  assert.deepEqual([other.arrivals.length, same.arrivals.length], [0, STREAMS])
})
