/** Guards against a resumable stream that is cut because its engine is silent for longer than the gap target, while no other engine can go on with it. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fleetTesting from '../_lib/fleetTesting.js'

const GATEWAY_HOST = '127.0.0.31'
const EVENTS = 3
/** Longer than the time after which the stream is requested from another engine. */
const SILENCE_MS = 1200

nodeTest.test('a resumable stream is not cut while its engine is silent and the next engine refuses it', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure((configuration) => {
    const stream = configuration.routes.find(({ name }) => name === 'stream')
    Object.assign(stream ?? {}, { timeoutMs: 8000, targetLatencyMs: 3000 })
  })
  const options = { ...fleetTesting.STREAM_SERVICE.engine, events: EVENTS, eventMs: SILENCE_MS }
  const engines = [await fleet.startEngine({ id: 'i-1', ...options }), await fleet.startEngine({ id: 'i-2', ...options })]
  const gateway = await fleet.startGateway(GATEWAY_HOST, [], undefined, { bounds: 'retry_ratio = 10\n' })
  await fleet.waitUntilReady(GATEWAY_HOST)
  const answered = fleetTesting.call(gateway, { path: '/stream/quote', id: 'silent', headers: { 'deadline-remaining': '8000' } })
  await fleetTesting.waitWithLimit(async () => engines.some(({ arrivals }) => arrivals.length > 0))
  Object.assign(engines.find(({ arrivals }) => arrivals.length === 0)?.faults ?? {}, { next: 'full', count: 100 })
  const answer = await answered
  assert.deepEqual({ status: answer.status, isWhole: answer.isWhole, events: answer.body.match(/^id: /gm)?.length }, { status: 200, isWhole: true, events: EVENTS })
})

nodeTest.test('a resumable stream is not cut while its engine is silent and no other engine can go on with it', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure((configuration) => {
    const stream = configuration.routes.find(({ name }) => name === 'stream')
    Object.assign(stream ?? {}, { timeoutMs: 8000, targetLatencyMs: 3000 })
  })
  const engine = await fleet.startEngine({ id: 'i-1', ...fleetTesting.STREAM_SERVICE.engine, events: EVENTS, eventMs: SILENCE_MS })
  const gateway = await fleet.startGateway(GATEWAY_HOST)
  await fleet.waitUntilReady(GATEWAY_HOST)
  const answer = await fleetTesting.call(gateway, { path: '/stream/quote', id: 'silent', headers: { 'deadline-remaining': '8000' } })
  assert.equal(engine.arrivals.length, 1)
  assert.deepEqual({ status: answer.status, isWhole: answer.isWhole, events: answer.body.match(/^id: /gm)?.length }, { status: 200, isWhole: true, events: EVENTS })
})
