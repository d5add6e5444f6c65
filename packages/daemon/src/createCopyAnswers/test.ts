import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as util from 'node:util'
import * as zlib from 'node:zlib'
import Koa from 'koa'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as rpc from '@switchridge/rpc'
import * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import * as copyParts from '../_lib/copyParts.js'
import * as readCopyAnswer from '../readCopyAnswer/index.js'
import * as createCopyAnswers from './index.js'

const HOST = '127.0.0.1'
const KEY = 'key-of-tenant-one'
const IDENTITY = { deployment: 'depozit', sharedKey: 'a-key-of-some-length' }
const KIND = platform.OBJECT_KINDS.configuration
const compress = util.promisify(zlib.gzip)

function createFilledMirror (): store.Mirror {
  const mirror = store.createMirror(KIND)
  mirror.applyList({ at: 7, objects: [{ name: platform.CONFIGURATION_NAME, revision: 5, value: testing.createConfiguration('127.0.0.9:1', 8, 'model-a', KEY) }] })
  return mirror
}

function createAnswers (mirror: store.Mirror, role: 'gateway' | 'agent' = 'gateway'): createCopyAnswers.CopyAnswers {
  return createCopyAnswers.createCopyAnswers({ mirrors: [mirror], role, identity: IDENTITY })
}

nodeTest.test('requests from revisions without a change between them share one cached answer', async () => {
  const mirror = createFilledMirror()
  const { answer } = createAnswers(mirror)
  mirror.applyEvents({ at: 30, events: [{ isGone: false, object: { name: 'main', revision: 30, value: {} } }] })
  const first = await answer(KIND, 'whole', 9)
  assert.equal(await answer(KIND, 'whole', 20), first)
  assert.notEqual(await answer(KIND, 'services', 20), first)
  mirror.applyEvents({ at: 40, events: [{ isGone: false, object: { name: 'main', revision: 40, value: {} } }] })
  assert.notEqual(await answer(KIND, 'whole', 20), first)
})

nodeTest.test('an agent receives the services without routes and keys, and the part can be parsed', async () => {
  const bytes = await createAnswers(createFilledMirror()).answer(KIND, 'services', 0)
  assert.ok(bytes !== null)
  assert.doesNotMatch(zlib.gunzipSync(bytes).toString(), new RegExp(KEY))
  const read = await readCopyAnswer.readCopyAnswer(bytes, { kind: KIND, since: 0 }, 'services')
  assert.ok(read.ok)
  const mirror = store.createMirror(KIND)
  assert.equal(mirror.applyChanges(read.value), 'applied')
  assert.equal(mirror.state().digest, createFilledMirror().state().digest)
  const parsed = platform.parseConfiguration(mirror.objects().get(platform.CONFIGURATION_NAME)?.value)
  assert.ok(parsed.ok)
  assert.deepEqual([parsed.value.routes.length, parsed.value.tenants.length, parsed.value.services.length], [0, 0, 3])
})

nodeTest.test('an agent serves its part to agents, and never as a whole configuration', async () => {
  const { answer } = createAnswers(createFilledMirror(), 'agent')
  assert.equal(await answer(KIND, 'whole', 0), null)
  const bytes = await answer(KIND, 'services', 0)
  assert.ok(bytes !== null)
  const read = await readCopyAnswer.readCopyAnswer(bytes, { kind: KIND, since: 0 }, 'whole')
  assert.ok(!read.ok)
  assert.match(read.error.message, /part services, not whole/)
  assert.equal(copyParts.includesPart(copyParts.partForRole(KIND, 'agent'), copyParts.partForRole(KIND, 'gateway')), false)
  assert.equal(copyParts.includesPart(copyParts.partForRole(platform.OBJECT_KINDS.versions, 'agent'), copyParts.partForRole(platform.OBJECT_KINDS.versions, 'gateway')), true)
})

nodeTest.test('a daemon without a copy, or a request for an unknown kind or part, yields no answer', async () => {
  assert.equal(await createAnswers(store.createMirror(KIND)).answer(KIND, 'whole', 0), null)
  assert.equal(await createAnswers(createFilledMirror()).answer('others', 'whole', 0), null)
  assert.equal(await createAnswers(createFilledMirror()).answer(KIND, 'half', 0), null)
})

nodeTest.test('answers that are too large, not compressed, truncated or of another kind are rejected with their reason', async () => {
  const good = { kind: KIND, part: 'whole', since: 0, at: 7, digest: '0', objects: [], gone: [] }
  const cases: Array<[Buffer, RegExp]> = [
    [await compress(Buffer.alloc(readCopyAnswer.MAXIMUM_COPY_BYTES + 1, ' ')), /larger than/],
    [Buffer.from(JSON.stringify(good)), /incorrect header/],
    [(await compress(JSON.stringify(good))).subarray(0, 30), /unexpected end/],
    [await compress('{"kind":'), /JSON/],
    [await compress(JSON.stringify({ ...good, kind: 'others' })), /a copy of others/],
    [await compress(JSON.stringify({ ...good, at: 'late' })), /unreadable at at/],
    [await compress(JSON.stringify({ ...good, objects: [{ name: 'a' }] })), /unreadable at objects.0.revision/]
  ]
  for (const [bytes, reason] of cases) {
    const read = await readCopyAnswer.readCopyAnswer(bytes, { kind: KIND, since: 0 }, 'whole')
    assert.ok(!read.ok)
    assert.match(read.error.message, reason)
  }
})

/** Starts a daemon's answers over HTTP, with a client for it. */
async function startAnswerServer (context: nodeTest.TestContext): Promise<{ readonly listener: rpc.HttpListener, readonly agents: rpc.HttpAgents }> {
  const app = new Koa()
  app.use(createAnswers(createFilledMirror()).middleware)
  const listener = await rpc.listenHttp(app.callback(), { host: HOST, port: 0 })
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    listener.abort()
  })
  return { listener, agents }
}

nodeTest.test('only daemons of the same deployment get an answer', async (context) => {
  const { listener, agents } = await startAnswerServer(context)
  const ask = async (identity: rpc.Identity, path: string): Promise<number> => {
    const sent = await rpc.sendRequest(agents, { base: rpc.formatBaseUrl(agents, listener.address), path, method: 'GET', headers: rpc.createIdentityHeaders(identity) }, types.BYTES_IN_MEBIBYTE)
    return sent.ok ? sent.value.status : 0
  }
  const path = copyParts.formatCopyPath(KIND, 'whole', 0)
  assert.equal(await ask(IDENTITY, path), 200)
  assert.equal(await ask({ ...IDENTITY, sharedKey: 'another-key-of-length' }, path), 403)
  assert.equal(await ask(IDENTITY, copyParts.formatCopyPath('others', 'whole', 0)), 404)
  assert.equal(await ask(IDENTITY, `${copyParts.COPIES_PATH}%E0/whole/0`), 404)
})

nodeTest.test('a request without a valid revision is refused with its reason', async (context) => {
  const { listener, agents } = await startAnswerServer(context)
  for (const since of ['', '/', '/late', '/-1', '/Infinity', '/9e99', '/0x10', '/1.2.3', '/%20', '/3/4']) {
    const sent = await rpc.sendRequest(agents, { base: rpc.formatBaseUrl(agents, listener.address), path: `${copyParts.COPIES_PATH}${KIND}/whole${since}`, method: 'GET', headers: rpc.createIdentityHeaders(IDENTITY) }, types.BYTES_IN_MEBIBYTE)
    assert.ok(sent.ok)
    assert.equal(sent.value.status, 400, since)
    assert.match(sent.value.body.toString(), /is no revision/)
  }
  const half = await rpc.sendRequest(agents, { base: rpc.formatBaseUrl(agents, listener.address), path: copyParts.formatCopyPath(KIND, 'whole', 0.5), method: 'GET', headers: rpc.createIdentityHeaders(IDENTITY) }, types.BYTES_IN_MEBIBYTE)
  assert.ok(half.ok)
  assert.equal(half.value.status, 200)
})
