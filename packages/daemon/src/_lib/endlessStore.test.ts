/** Guards against answers of the store that do not end, or whose pages do not. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
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

nodeTest.test('a list whose pages do not end fails before they fill the memory', LIMIT, async (context) => {
  let pages = 0
  const listener = await rpc.listenHttp((_request, response) => {
    pages += 1
    response.end(JSON.stringify({ items: [{ metadata: { name: `name-${pages}`, revision: 1 }, spec: 'x'.repeat(PAGE_BYTES) }], more: true, at: 1 }))
  }, { host: types.LOOPBACK_HOST, port: 0 })
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    listener.abort()
  })
  const client = platform.createStoreClient({ address: listener.address, agents, timeoutMs: TIMEOUT_MS, onCall: () => {}, onUnreadable: () => {}, onRestored: () => {} })
  const listed = await client.listAll(KIND)
  assert.match(listed.ok ? 'listed' : listed.error.message, /list of servers exceeds 16777216 bytes/)
  assert.equal(pages, 6)
})
