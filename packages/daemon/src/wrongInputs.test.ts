/** Guards against calls that are lost, and loops that end, because of wrong input that these calls have nothing to do with: objects of the store, datagrams of others, headers of other callers. */
import * as assert from 'node:assert/strict'
import * as dgram from 'node:dgram'
import * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'

const LIMIT = { timeout: 120_000 }
const HOST = '127.0.0.1'
const SENDER_HOST = '127.0.0.53'
const SEED = 82
const INPUTS = 1000
/** Inputs after which calls are sent. */
const BATCH = 50
const OK = 200
const PATHS = ['/read/x', '/write/x', '/stream/x'] as const
const { backEnds, versions, evacuations, configuration } = platform.OBJECT_KINDS

interface Scene {
  readonly fleet: fleetTesting.TestFleet
  readonly gateway: types.Address
}

async function openScene (context: nodeTest.TestContext): Promise<Scene> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  await fleet.startEngine({ id: 'i-plain' }, fleetTesting.PLAIN_SERVICE.name)
  await fleet.startEngine({ id: 'i-model', ...fleetTesting.STREAM_SERVICE.engine }, fleetTesting.STREAM_SERVICE.name)
  const gateway = await fleet.startGateway(HOST, [], undefined, { bounds: 'evacuation_ms = 1000\n' })
  for (const path of PATHS) await fleetTesting.waitWithLimit(async () => await callOnce(gateway, path, 'probe') === OK)
  return { fleet, gateway }
}

async function callOnce (gateway: types.Address, path: string, id: string): Promise<number> {
  return (await fleetTesting.call(gateway, { method: 'POST', path, id, body: 'x', headers: testing.formatModelHeaders(fleetTesting.MODEL) })).status
}

/** Applies the inputs, and calls all routes after each batch; returns the calls that were not served. */
async function applyInputs<Input> ({ gateway }: Scene, inputs: fastCheck.Arbitrary<Input>, apply: (input: Input, index: number) => void | Promise<void>): Promise<string[]> {
  const lost: string[] = []
  for (const [index, input] of fastCheck.sample(inputs, { seed: SEED, numRuns: INPUTS }).entries()) {
    await apply(input, index)
    if (index % BATCH !== BATCH - 1) continue
    const statuses = await Promise.all(PATHS.map(async (path) => await callOnce(gateway, path, `call-${index}-${path}`)))
    statuses.forEach((status, at) => { if (status !== OK) lost.push(`${PATHS[at] ?? ''} after ${index + 1} inputs: ${status}`) })
  }
  return lost
}

/** Fields of objects with values of any type; the name of a model that is served isn't among them. */
const fields = fastCheck.dictionary(fastCheck.constantFrom('model', 'version', 'service', 'address', 'zone', 'slots', 'state', 'routes', 'services', 'limits', 'tenants', 'sequence', 'born'), fastCheck.jsonValue())
const values = fastCheck.oneof(fields, fastCheck.jsonValue())

for (const kind of [backEnds, versions, evacuations, configuration]) {
  nodeTest.test(`objects of the kind ${kind} with any value cost no call`, LIMIT, async (context) => {
    const scene = await openScene(context)
    const lost = await applyInputs(scene, values, (value, index) => { scene.fleet.store.put(kind, kind === configuration && index % 2 === 0 ? platform.CONFIGURATION_NAME : `x-${index % BATCH}`, value) })
    assert.deepEqual(lost, [])
    // What is written after them is still followed.
    await fleetTesting.waitWithLimit(async () => {
      scene.fleet.configure(({ routes }) => { routes.push({ ...routes[0], name: 'later', pathPrefix: '/later/' }) })
      await types.delay(BATCH)
      return await callOnce(scene.gateway, '/later/x', 'later') === OK
    })
  })
}

nodeTest.test('datagrams with any content cost no call', LIMIT, async (context) => {
  const scene = await openScene(context)
  const socket = dgram.createSocket('udp4')
  await new Promise<void>((resolve) => { socket.bind(0, SENDER_HOST, resolve) })
  context.after(() => { socket.close() })
  const messages = fastCheck.oneof(
    fastCheck.uint8Array().map((bytes) => Buffer.from(bytes)),
    fastCheck.tuple(fastCheck.constantFrom('h', 'n', 'd', 'a', 'r', 'f'), fastCheck.array(fastCheck.jsonValue(), { maxLength: 12 })).map(([kind, rest]) => Buffer.from(JSON.stringify([kind, ...rest]))),
    fastCheck.record({ sentAt: fastCheck.integer(), flags: fastCheck.integer({ min: 0, max: 8 }), engine: fastCheck.jsonValue(), suspects: fastCheck.array(fastCheck.string()), incarnation: fastCheck.jsonValue() })
      .map(({ sentAt, flags, engine, suspects, incarnation }) => Buffer.from(JSON.stringify(['h', sentAt, flags, 'other', 'zone-b', SENDER_HOST, 1, 0, {}, [], suspects, engine, incarnation])))
  )
  const lost = await applyInputs(scene, messages, async (bytes) => {
    await new Promise<void>((resolve) => { socket.send(bytes, scene.fleet.ports.internal, HOST, () => { resolve() }) })
  })
  assert.deepEqual(lost, [])
})

nodeTest.test('requests with any values of headers cost no other call', LIMIT, async (context) => {
  const scene = await openScene(context)
  const value = fastCheck.oneof(fastCheck.stringMatching(/^[\x20-\x7e]{0,40}$/), fastCheck.constantFrom('0', '-1', '1e300', 'NaN', '1,', ',1', '1:1', 'ff:1,ff:1', ':', '99999999999999999999'))
  const headers = fastCheck.dictionary(fastCheck.constantFrom('request-id', 'model', 'token-count', 'prompt-prefix', 'length-hint', 'deadline-remaining', 'last-event-id', 'expect-instance', 'expect-version', 'connection', 'x-own'), value)
  const agent = new http.Agent({ keepAlive: false })
  const lost = await applyInputs(scene, headers, async (odd, index) => {
    await fleetTesting.call(scene.gateway, { method: 'POST', path: PATHS[index % PATHS.length] as string, id: `odd-${index}`, body: 'x', headers: odd, abortAfterMs: BATCH, agent })
  })
  assert.deepEqual(lost, [])
})
