/** Guards against answers of the store that do not end, or whose pages do not. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as workers from 'node:worker_threads'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as rpc from '@switchridge/rpc'
import * as store from '@switchridge/store'
import * as types from '@switchridge/types'

const LIMIT = { timeout: 20_000 }
const TIMEOUT_MS = 5000
const KIND = 'servers'
const PART = 'x'.repeat(65_536)
/** What the client reads at most, and what the buffers of the system take on both sides. */
const MAXIMUM_SENT_BYTES = 24 * types.BYTES_IN_MEBIBYTE
const PAGE_BYTES = 3 * types.BYTES_IN_MEBIBYTE
const OPENED: testing.EndlessAnswer = { headers: { 'content-type': 'application/json' }, begin: '{"items":[],"events":[],"at":1,"filler":"', part: PART }

interface EndlessStore {
  readonly client: store.CollectionStore
  readonly proxy: testing.EndlessProxy
  readonly unreadable: string[]
}

async function openStore (context: nodeTest.TestContext): Promise<EndlessStore> {
  const standIn = await testing.createStoreStandIn()
  const proxy = await testing.createEndlessProxy(standIn.address, () => OPENED)
  const agents = rpc.createHttpAgents()
  const unreadable: string[] = []
  context.after(() => {
    agents.destroy()
    proxy.close()
    standIn.close()
  })
  const client = platform.createStoreClient({ address: proxy.address, agents, timeoutMs: TIMEOUT_MS, onCall: () => {}, onUnreadable: (kind, { message }) => { unreadable.push(`${kind} ${message}`) }, onRestored: () => {} })
  return { client, proxy, unreadable }
}

nodeTest.test('a list and a write that are answered without end fail, and name the limit', LIMIT, async (context) => {
  const { client, proxy } = await openStore(context)
  for (const send of [async () => await client.listAll(KIND), async () => await client.put(KIND, 'name', {}, null), async () => await client.remove(KIND, 'name', 1)]) {
    const sent = await send()
    assert.match(sent.ok ? 'answered' : sent.error.message, /the body of the answer exceeds 4194304 bytes/)
  }
  assert.ok(proxy.sentBytes() < 3 * MAXIMUM_SENT_BYTES, `${proxy.sentBytes()} bytes`)
})

nodeTest.test('a watch that is answered without end is reported, and followed by a list', LIMIT, async (context) => {
  const { client, proxy, unreadable } = await openStore(context)
  const watched = await client.watchAll(KIND, 1, 0)
  assert.ok(!watched.ok && watched.error instanceof store.HistoryGoneError)
  assert.match(unreadable.join(), /servers .*the body of the answer exceeds 4194304 bytes/)
  assert.ok(proxy.sentBytes() < MAXIMUM_SENT_BYTES, `${proxy.sentBytes()} bytes`)
})

/** Old generation of the JavaScript heap of gateways (deploy/system.toml). */
const HEAP_MEGABYTES = 160
const VALUE_BYTES = 1_000_000
const SOUND = '{"metadata":{"name":"z-sound","revision":1},"spec":{"is":"sound"}}'
/** Reads a list twice, as after a loss of the store's history, and sends back what the mirror holds then, or why there is no list. */
const READER = `
  const { workerData, parentPort } = require('node:worker_threads')
  void (async () => {
    const [platform, rpc, store] = await Promise.all([import('@switchridge/platform'), import('@switchridge/rpc'), import('@switchridge/store')])
    const agents = rpc.createHttpAgents()
    const client = platform.createStoreClient({ address: workerData.address, agents, timeoutMs: ${TIMEOUT_MS}, onCall: () => {}, onUnreadable: () => {}, onRestored: () => {} })
    const mirror = store.createMirror('${KIND}')
    let listed
    for (let list = 0; list < 2; list += 1) {
      listed = await client.listAll('${KIND}')
      if (listed.ok) mirror.applyList(listed.value)
    }
    agents.destroy()
    parentPort.postMessage(listed.ok ? { names: mirror.objects().size, sound: mirror.objects().get('z-sound')?.value } : listed.error.message)
  })()
`

/** Reads a list, given page by page, twice in a thread of its own. */
async function readInHeapOfGateway (context: nodeTest.TestContext, formatPage: (page: number) => string): Promise<unknown> {
  const listener = await rpc.listenHttp((request, response) => {
    const after = new URL(request.url ?? '', 'http://store').searchParams.get('after')
    response.end(formatPage(after === null ? 0 : Number(after.slice('name-'.length)) + 1))
  }, { host: types.LOOPBACK_HOST, port: 0 })
  const worker = new workers.Worker(READER, { eval: true, workerData: { address: listener.address }, resourceLimits: { maxOldGenerationSizeMb: HEAP_MEGABYTES } })
  context.after(async () => {
    await worker.terminate()
    listener.abort()
  })
  return await new Promise((resolve) => {
    worker.once('message', resolve)
    worker.once('error', (error: Error) => { resolve(error.message) })
  })
}

function formatPage (page: number, spec: string, isLast: boolean): string {
  const name = `name-${String(page).padStart(4, '0')}`
  return `{"items":[{"metadata":{"name":"${name}","revision":1},"spec":${spec}}${isLast ? `,${SOUND}` : ''}],"more":${String(!isLast)},"at":1}`
}

const SPECS: Readonly<Record<string, () => string>> = {
  'nested lists': () => '['.repeat(VALUE_BYTES / 2) + ']'.repeat(VALUE_BYTES / 2),
  'empty lists': () => `[${'[],'.repeat(VALUE_BYTES / 3)}0]`,
  'empty objects': () => `[${'{},'.repeat(VALUE_BYTES / 3)}0]`,
  numbers: () => `[${'0.5,'.repeat(VALUE_BYTES / 4)}0]`,
  'many keys': () => `{${Array.from({ length: VALUE_BYTES / 10 }, (_, key) => `"${key}":0`).join()}}`,
  text: () => `"${'x'.repeat(VALUE_BYTES)}"`
}

for (const [name, formatSpec] of Object.entries(SPECS)) {
  for (const entries of [14, 20]) {
    nodeTest.test(`a list with ${entries} large entries of ${name} keeps within the heap of a gateway, and its sound entry holds`, LIMIT, async (context) => {
      const spec = formatSpec()
      const read = await readInHeapOfGateway(context, (page) => formatPage(page, spec, page === entries - 1))
      assert.deepEqual(read, { names: entries + 1, sound: { is: 'sound' } })
    })
  }
}

nodeTest.test('a list whose pages do not end fails before they fill the memory', LIMIT, async (context) => {
  const pages = new Set<number>()
  const spec = `"${'x'.repeat(PAGE_BYTES)}"`
  const read = await readInHeapOfGateway(context, (page) => {
    pages.add(page)
    return formatPage(page, spec, false)
  })
  assert.match(String(read), /list of servers does not end/)
  assert.equal(pages.size, 100)
})
