/**
 * Guards against calls that crash engines and are taken for answered: an answer with neither a length nor chunks ends with its connection, and that of a
 * process that ends looks the same. The call then counted as served, which cleared it of earlier ends, and its caller took a truncated answer for a whole one.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOST = '127.0.0.1'
const ENGINES = 10
const CALLS = 9
/** Number of engines that a call must have ended before it is blocked. */
const BLOCK_THRESHOLD = 3
const OK = 200
const EVENTS = 6
const STREAM_TYPE = 'text/event-stream'
const PLAIN_ENGINE_TEXT = /^answer of i-\d+ to whole-\d+$/

interface Kind {
  readonly name: string
  readonly service: string
  readonly path: string
  readonly isStream: boolean
  readonly engine: Pick<testing.EngineStandInOptions, 'model' | 'version'>
}

const RESUMABLE: Kind = { name: 'a resumable stream', service: 'llm', path: '/stream/', isStream: true, engine: { model: fleetTesting.MODEL, version: 1 } }
const NOT_RESUMABLE: Kind = { ...RESUMABLE, name: 'a stream that is not resumable', path: '/streams-once/' }
const PLAIN: Kind = { name: 'a plain answer', service: 'api', path: '/read/', isStream: false, engine: {} }

interface OpenedGateway {
  readonly fleet: fleetTesting.TestFleet
  readonly gateway: types.Address
  readonly engines: testing.EngineStandIn[]
}

async function openGateway (context: nodeTest.TestContext, kind: Kind, options: Partial<testing.EngineStandInOptions>): Promise<OpenedGateway> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure(({ routes }) => {
    const resumable = routes.find(({ name }) => name === 'stream')
    routes.push({ ...resumable, name: 'streams-once', pathPrefix: NOT_RESUMABLE.path, resumable: false })
  })
  const engines: testing.EngineStandIn[] = []
  for (let index = 0; index < ENGINES; index += 1) engines.push(await fleet.startEngine({ id: `i-${index}`, events: EVENTS, ...kind.engine, ...options }, kind.service))
  const gateway = await fleet.startGateway(HOST)
  await fleetTesting.waitUntilServed(gateway, `${kind.path}probe`)
  return { fleet, gateway, engines }
}

async function send (gateway: types.Address, { path }: Kind, id: string, name: string): Promise<testing.CallerAnswer> {
  return await fleetTesting.call(gateway, { method: 'GET', path: `${path}${name}`, id, headers: testing.formatModelHeaders(fleetTesting.MODEL) })
}

const CRASHES: ReadonlyArray<{ readonly when: string, readonly body: string, readonly kinds: readonly Kind[] }> = [
  { when: 'after the head', body: '', kinds: [RESUMABLE, NOT_RESUMABLE, PLAIN] },
  { when: 'after a whole event', body: 'id: 1\ndata: piece-1\n\n', kinds: [RESUMABLE, NOT_RESUMABLE] },
  { when: 'inside an event', body: 'id: 1\nda', kinds: [RESUMABLE, NOT_RESUMABLE] },
  { when: 'inside a body', body: 'half of', kinds: [PLAIN] }
]

for (const { when, body, kinds } of CRASHES) {
  for (const kind of kinds) {
    nodeTest.test(`a call that ends its engine ${when} of ${kind.name} without framing is blocked, and no caller takes the answer for whole`, async (context) => {
      const { gateway, engines } = await openGateway(context, kind, {
        crashesOn: ({ path }) => path.endsWith('crash'),
        crashAnswer: { isFramed: false, contentType: kind.isStream ? STREAM_TYPE : 'text/plain', body },
        crashDelayMs: 5
      })
      const answers: testing.CallerAnswer[] = []
      for (let index = 0; index < CALLS; index += 1) answers.push(await send(gateway, kind, `crash-${index}`, 'crash'))
      assert.deepEqual(answers.filter(({ status, isWhole }) => status === OK && isWhole), [])
      assert.equal(engines.filter((engine) => engine.hasCrashed()).length, BLOCK_THRESHOLD)
    })
  }
}

for (const kind of [RESUMABLE, NOT_RESUMABLE, PLAIN]) {
  nodeTest.test(`${kind.name} without framing from an engine that keeps running is passed on whole and counts as served`, async (context) => {
    const { fleet, gateway, engines } = await openGateway(context, kind, {})
    const servedBefore = await fleet.readCounter(HOST, 'attempts', 'done')
    for (const engine of engines) Object.assign(engine.faults, { next: 'unframed', count: CALLS })
    for (let index = 0; index < CALLS; index += 1) {
      const answer = await send(gateway, kind, `whole-${index}`, 'whole')
      assert.equal(answer.status, OK)
      assert.ok(answer.isWhole)
      assert.equal(answer.headers['content-length'], kind.isStream ? undefined : String(answer.body.length))
      assert.equal(answer.headers['transfer-encoding'], kind.isStream ? 'chunked' : undefined)
      if (kind.isStream) assert.deepEqual(answer.body.match(/id: \d+/g), Array.from({ length: EVENTS }, (_, event) => `id: ${event + 1}`))
      else assert.match(answer.body, PLAIN_ENGINE_TEXT)
    }
    assert.equal(await fleet.readCounter(HOST, 'attempts', 'done') - servedBefore, CALLS)
  })
}

for (const kind of [RESUMABLE, NOT_RESUMABLE]) {
  nodeTest.test(`${kind.name} without framing that ends inside an event at an engine that keeps running never looks whole without its last event`, async (context) => {
    const { gateway, engines } = await openGateway(context, kind, {})
    for (const engine of engines) Object.assign(engine.faults, { next: 'unframed-torn', count: 1 })
    const answer = await send(gateway, kind, 'torn', 'torn')
    assert.equal(answer.isWhole, answer.body.includes(`id: ${EVENTS}`))
  })
}
