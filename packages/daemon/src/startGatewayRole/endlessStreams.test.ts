/** Guards against calls that go on being sent to an engine whose event streams have no end, and against one that is never tried again. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as workerThreads from 'node:worker_threads'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'
import * as programTesting from '../_lib/programTesting.js'

const HOST = '127.0.0.64'
const NODE_OPTIONS = '--max-old-space-size=160'
const SOUND_CALLERS = 8
const ANSWERED_FRACTION = 0.99
/** An engine is avoided for 3 s at most after a failure; it is tried again so often at most, after 0.3, 0.6, 1.2, 2.4 and 3 s. */
const AVOIDANCE_JUDGED_MS = 8000
const MAXIMUM_TRIES = 6
const HTTP_OK = 200
/** A line of an event in a chunk. */
const ENDLESS_PART = '8\r\ndata: x\n\r\n'

/** Calls a service, one call after the other from each caller, and returns their statuses. */
async function callService (gateway: types.Address, service: fleetTesting.TestService, name: string): Promise<number[]> {
  const endsAt = performance.now() + AVOIDANCE_JUDGED_MS
  const statuses: number[] = []
  await Promise.all(Array.from({ length: SOUND_CALLERS }, async (_, caller) => {
    for (let index = 0; performance.now() < endsAt; index += 1) {
      statuses.push(await fleetTesting.callService(gateway, service, `${name}-${caller}-${index}`).then(({ status }) => status, () => 0))
    }
  }))
  return statuses
}

nodeTest.test('calls are answered by the sound engine of the same service, and the one whose streams have no end is tried again', { timeout: 60_000 }, async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const worker = new workerThreads.Worker(new URL('../_lib/endlessStreamEngine.js', import.meta.url), { workerData: ENDLESS_PART })
  context.after(async () => { await worker.terminate() })
  const port = await new Promise<number>((resolve) => { worker.once('message', resolve) })
  const { name, engine } = fleetTesting.STREAM_SERVICE
  const faulty = await fleet.startEngine({ id: 'i-faulty', ...engine }, name)
  fleet.store.put('servers', 'i-faulty', testing.describeEngine({ ...faulty, address: { host: types.LOOPBACK_HOST, port } }, name, 'zone-a', { name: fleetTesting.MODEL, version: 1 }))
  await fleet.startEngine({ id: 'i-streams', ...engine }, name)
  await fleet.startEngine({ id: 'i-plain' }, fleetTesting.PLAIN_SERVICE.name)
  const program = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, HOST, 'memory_megabytes = 350\n'), { nodeOptions: NODE_OPTIONS })
  await program.waitForOutput('event=started')
  await fleet.waitUntilReady(HOST)
  const statuses = await callService({ host: HOST, port: fleet.ports.callers }, fleetTesting.STREAM_SERVICE, 'stream')
  const answered = statuses.filter((status) => status === HTTP_OK).length
  // The first calls were sent before the first answer was given up; an answer that comes slowly is silent first.
  const lines = program.output().matchAll(/event=(?:answer-given-up|attempt-silent) .*id=(stream-\d+-[1-9]\d*) backEnd=i-faulty/g)
  const triedAgain = new Set([...lines].map(([, id]) => id)).size
  const figures = `${answered} of ${statuses.length} answered, tried again ${triedAgain} times`
  context.diagnostic(figures)
  assert.ok(answered >= ANSWERED_FRACTION * statuses.length, figures)
  assert.ok(triedAgain >= 1 && triedAgain <= MAXIMUM_TRIES, figures)
})
