/** Guards against resumable streams that are ended because their engines are silent for longer than a target, while they can't be served by another one. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as testing from '@switchridge/platform-testing'
import * as fleetTesting from '../_lib/fleetTesting.js'

const GATEWAY_HOST = '127.0.0.31'
const EVENTS = 3
/** Longer than the time after which the stream is requested from another engine. */
const SILENCE_MS = 1200
const STREAMS = 20
const LIMIT = { timeout: 60_000 }
const TARGET_MS = 3000
/** Three times this target are over before the first event of a silent engine. */
const SHORT_TARGET_MS = 300
/** Pays for two retries of {@link STREAMS} streams, since a gateway uses only a part of it. */
const RETRY_BOUNDS = 'retry_ratio = 0.2\n'

interface Fixture {
  readonly engines: readonly testing.EngineStandIn[]
  readonly callStream: (id: string) => Promise<{ status: number, isWhole: boolean, events: number }>
}

async function startSilentEngines (context: nodeTest.TestContext, engineIds: readonly string[], bounds = '', targetLatencyMs = TARGET_MS): Promise<Fixture> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure((configuration) => {
    const stream = configuration.routes.find(({ name }) => name === 'stream')
    Object.assign(stream ?? {}, { timeoutMs: 8000, targetLatencyMs })
  })
  const engines = await Promise.all(engineIds.map(async (id) => await fleet.startEngine({ id, ...fleetTesting.STREAM_SERVICE.engine, events: EVENTS, eventMs: SILENCE_MS })))
  const gateway = await fleet.startGateway(GATEWAY_HOST, [], undefined, { bounds })
  await fleet.waitUntilReady(GATEWAY_HOST)
  return {
    engines,
    callStream: async (id) => {
      const { status, isWhole, body } = await fleetTesting.call(gateway, { path: '/stream/quote', id, headers: { 'deadline-remaining': '8000' } })
      return { status, isWhole, events: body.match(/^id: /gm)?.length ?? 0 }
    }
  }
}

nodeTest.test('a resumable stream is not cut while its engine is silent and no other engine can go on with it', LIMIT, async (context) => {
  const { engines, callStream } = await startSilentEngines(context, ['i-1'])
  assert.deepEqual(await callStream('silent'), { status: 200, isWhole: true, events: EVENTS })
  assert.equal(engines[0]?.arrivals.length, 1)
})

nodeTest.test('a resumable stream is not cut while its engine is silent and the next engine refuses it', LIMIT, async (context) => {
  const { engines, callStream } = await startSilentEngines(context, ['i-1', 'i-2'], 'retry_ratio = 10\n')
  const answered = callStream('silent')
  await fleetTesting.waitWithLimit(async () => engines.some(({ arrivals }) => arrivals.length > 0))
  Object.assign(engines.find(({ arrivals }) => arrivals.length === 0)?.faults ?? {}, { next: 'full', count: 100 })
  assert.deepEqual(await answered, { status: 200, isWhole: true, events: EVENTS })
})

nodeTest.test('streams whose engines are silent at the same time are not cut where the retry budget pays for some of them only', LIMIT, async (context) => {
  const { engines, callStream } = await startSilentEngines(context, ['i-1', 'i-2'], RETRY_BOUNDS)
  const answers = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => await callStream(`silent-${index}`)))
  assert.deepEqual(answers, answers.map(() => ({ status: 200, isWhole: true, events: EVENTS })))
  const moved = engines.reduce((sum, { arrivals }) => sum + arrivals.length, 0) - STREAMS
  assert.ok(moved > 0 && moved < STREAMS, `${moved} of ${STREAMS} streams moved`)
})

nodeTest.test('resumable streams without any event are not given up while their engine is silent and no other engine can serve them', LIMIT, async (context) => {
  const { engines, callStream } = await startSilentEngines(context, ['i-1'], '', SHORT_TARGET_MS)
  const answers = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => await callStream(`silent-${index}`)))
  assert.deepEqual(answers, answers.map(() => ({ status: 200, isWhole: true, events: EVENTS })))
  assert.equal(engines[0]?.arrivals.length, STREAMS)
})
