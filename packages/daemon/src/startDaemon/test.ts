import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as got from 'got'
import type Koa from 'koa'
import * as store from '@switchridge/store'
import * as rpc from '@switchridge/rpc'
import * as settings from '@switchridge/settings'
import * as standins from '@switchridge/standins'
import * as tables from '@switchridge/table'
import * as types from '@switchridge/types'
import * as startDaemon from './index.js'

const HOST = types.LOOPBACK_HOST
const WEIGHTS = [{ seed: 'test', bytes: 64 * 1024 }]
const TOKENS = 40
const POLL_MS = 20

/** Polls without a timeout of its own; the test runner's timeout ends a test that hangs. */
async function waitUntil (condition: () => Promise<boolean> | boolean): Promise<void> {
  while (!(await condition())) await types.delay(POLL_MS)
}

async function openApp (context: test.TestContext, app: Koa): Promise<string> {
  const listener = await rpc.listenHttp(app.callback(), { host: HOST, port: 0 })
  context.after(() => { listener.abort() })
  const { address } = listener
  return `http://${address.host}:${address.port}`
}

interface TestHall {
  readonly platformUrl: string
  readonly entry: startDaemon.RunningRole
  readonly backends: startDaemon.RunningRole[]
  readonly startBackend: (name: string) => Promise<startDaemon.RunningRole>
  readonly addService: (suffix: string) => Promise<boolean>
  readonly generate: (prompt: string) => Promise<{ outcome: string, tokens: string[], version: string }>
}

/** Starts a platform, an origin, an entry node and two engines with their backend daemons in this process. */
async function openHall (context: test.TestContext): Promise<TestHall> {
  const platformUrl = await openApp(context, standins.createPlatformStandIn())
  const originUrl = await openApp(context, standins.createOriginStandIn(0))
  const published = await got.got.post(`${originUrl}/admin/files`, { json: { name: 'w', parts: WEIGHTS, chunkBytes: 4096 } }).json<{ manifest: string }>()
  const started: startDaemon.RunningRole[] = []
  const start = async (text: string): Promise<startDaemon.RunningRole> => {
    const parsed = settings.parseSettings(`deployment = "test"\ndata_hall = "hall"\nregion = "region"\n${text}\n[platform]\nurl = "${platformUrl}"\n[origin]\nurl = "${originUrl}"\n[logs]\nlevel = "silent"\n`, 'test')
    assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message)
    const role = await startDaemon.startDaemon(parsed.value)
    started.push(role)
    return role
  }
  const entry = await start(`role = "entry"\nnode = "entry"\n[listen]\nhost = "${HOST}"\nport = 0\ncaller_port = 0`)
  const startBackend = async (name: string): Promise<startDaemon.RunningRole> => {
    const engineUrl = await openApp(context, standins.createEngineStandIn({ checksFences: true, tokenMs: 10, readsWeights: true }))
    return await start(`role = "backend"\nnode = "${name}"\nentry_nodes = ["${HOST}:${entry.address.port}"]\n[listen]\nhost = "${HOST}"\nport = 0\n[back_end]\nservice = "llm"\nkind = "engine"\nurl = "${engineUrl}"`)
  }
  const backends = [await startBackend('backend-1'), await startBackend('backend-2')]
  const objectStore = store.createObjectStore({ url: platformUrl, timeoutMs: 2000, agents: rpc.createHttpAgents() })
  const edit = async (section: types.SectionName, row: string, cells: Record<string, types.CellValue>): Promise<boolean> => {
    const changes = Object.entries({ id: row, ...cells }).map(([column, after]): types.CellChange => ({ section, row, column, before: null, after }))
    return (await tables.editTable(objectStore, { editId: types.brandId(`${row}-${JSON.stringify(cells)}`), editor: 'test', changes }, { attempts: 2 })).ok
  }
  await edit('services', 'llm', { kind: 'engine', repeatable: 'none' })
  await edit('models', 'm', { service: 'llm', version: '1', source: 'w', manifest: published.manifest, bytes: WEIGHTS[0]?.bytes ?? 0, originBytesPerSecond: 100_000_000 })
  context.after(() => { for (const role of started) role.stop() })
  const base = `http://${HOST}:${entry.callerAddress?.port ?? 0}`
  return {
    platformUrl,
    entry,
    backends,
    startBackend,
    addService: async (suffix) => await edit('services', `other-${suffix}`, { kind: 'plain' }),
    generate: async (prompt) => {
      const answer = await got.got.post(`${base}/services/llm/models/m/generate`, { json: { prompt, tokens: TOKENS }, retry: { limit: 0 }, throwHttpErrors: false })
      const lines = answer.body.split('\n').filter((line) => line.includes('"token"'))
      return { outcome: String(answer.headers['x-switchridge-outcome']), version: String(answer.headers['x-switchridge-version']), tokens: lines.map((line) => (JSON.parse(line) as { token: string }).token) }
    }
  }
}

interface Status {
  readonly counts: Record<string, number>
  readonly self: types.MemberFacts
  readonly members: ReadonlyArray<{ readonly facts: types.MemberFacts }>
  readonly load: { readonly running: number } | null
}

async function readStatus<Result> (role: startDaemon.RunningRole, read: (status: Status) => Result): Promise<Result> {
  const client = rpc.createRpcClient({ deployment: 'test', sharedKey: '' }, rpc.createHttpAgents())
  const status = await client.call<Status>(role.address, 'status', {})
  assert.ok(status.ok)
  return read(status.value)
}

const isServing = async (role: startDaemon.RunningRole): Promise<boolean> => await readStatus(role, (status) => status.self.serving.length > 0)

test.describe('startDaemon', () => {
  test.it('answers from the weights, cuts nothing when a backend server and an entry node leave, and gives the leaver no new work', async (context) => {
    const hall = await openHall(context)
    const weights = standins.computeWeights(WEIGHTS)
    const assertAnswer = (prompt: string, tokens: string[]): void => { assert.deepEqual(tokens, standins.computeAnswer(weights, prompt, TOKENS)) }
    await waitUntil(async () => (await Promise.all(hall.backends.map(isServing))).every(Boolean))
    await waitUntil(async () => (await hall.generate('first')).outcome === 'answered')
    // Otherwise all calls may go to the other server, and the wait for a call at the leaving one would never end.
    await waitUntil(async () => await readStatus(hall.entry, (status) => status.members.filter((member) => member.facts.serving.length > 0).length === hall.backends.length))
    const [leaving, remaining] = hall.backends as [startDaemon.RunningRole, startDaemon.RunningRole]

    const running = Array.from({ length: 8 }, async (_, index) => await hall.generate(`running-${index}`))
    await waitUntil(async () => await readStatus(leaving, (status) => (status.load?.running ?? 0) > 0))
    const drained = leaving.drain()
    const later = await Promise.all(Array.from({ length: 4 }, async (_, index) => await hall.generate(`later-${index}`)))
    for (const [index, answer] of (await Promise.all(running)).entries()) assertAnswer(`running-${index}`, answer.tokens)
    for (const [index, answer] of later.entries()) assertAnswer(`later-${index}`, answer.tokens)
    await drained
    assert.equal(await readStatus(leaving, (status) => status.load?.running), 0)
    assert.ok(await readStatus(remaining, (status) => (status.counts['calls.answered'] ?? 0) >= 4))

    const last = hall.generate('last')
    await waitUntil(async () => await readStatus(remaining, (status) => (status.load?.running ?? 0) > 0))
    const entryDrained = hall.entry.drain()
    assertAnswer('last', (await last).tokens)
    await entryDrained
  })

  test.it('keeps serving while the platform is unavailable, and a replacement daemon gets the table from its hall', async (context) => {
    const hall = await openHall(context)
    await waitUntil(async () => (await Promise.all(hall.backends.map(isServing))).every(Boolean))
    const revision = await readStatus(hall.entry, (status) => status.self.revision)
    await got.got.put(`${hall.platformUrl}/admin/faults`, { json: { isDown: true } })
    await waitUntil(async () => (await hall.generate('without')).outcome === 'answered')
    assert.equal(await hall.addService('2'), false)
    const replacement = await hall.startBackend('backend-3')
    await waitUntil(async () => await readStatus(replacement, (status) => status.self.revision === revision && status.self.holding.length === 1))
    await got.got.put(`${hall.platformUrl}/admin/faults`, { json: { isDown: false } })
    await waitUntil(async () => await isServing(replacement))
    assert.equal((await hall.generate('after')).version, 'm@1')
  })
})
