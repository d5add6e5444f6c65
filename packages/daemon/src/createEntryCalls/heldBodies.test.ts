/** Guards against entry nodes whose memory the bodies of many calls exceed, and against callers that stall and keep that memory from others. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as stream from 'node:stream'
import * as got from 'got'
import Koa from 'koa'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as createEntryCalls from './index.js'

const SERVICE = { id: types.brandId<types.ServiceName>('api'), kind: 'plain', repeatable: 'none', retryBudget: 0, concurrency: 1, queue: 1, timeoutMs: 60_000 } as unknown as types.ServiceRow
const BACKEND = { node: types.brandId<types.NodeId>('backend') } as unknown as types.MemberFacts
const LIMIT = { timeout: 60_000 }
/** Sixteen bodies of the largest size may be held. */
const STALLED_CALLERS = 20
const MAXIMUM_HELD_CALLERS = 16
const STALLED_MS = 1200

interface Caller {
  readonly received: () => string
}

async function startEntry (context: nodeTest.TestContext): Promise<types.Address> {
  const calls = createEntryCalls.createEntryCalls({
    table: () => ({ ...types.EMPTY_TABLE, services: [SERVICE] }),
    dispatcher: { submit: () => ({ backend: Promise.resolve(types.succeed(BACKEND)), cancel: () => {} }), dispatchWaiting: () => {}, waiting: () => 0 },
    loads: { noteEnded: () => {} },
    limiter: { take: () => 0 },
    send: async () => ({ kind: 'answered', response: Object.assign(stream.Readable.from([Buffer.from('ok')]), { statusCode: 200, headers: {} }), load: undefined }),
    register: { open: () => ({ noteEnding: () => {}, close: () => {} }) },
    endsAt: () => Infinity,
    guard: { isActive: () => false, onBlocked: () => {}, noteServed: () => {}, noteLost: async () => {} },
    logger: { info: () => {}, warn: () => {} },
    metrics: { increment: () => {}, timing: () => {} },
    health: { noteFailure: () => {}, noteSuccess: () => {} },
    now: () => performance.now(),
    at: () => () => {}
  } as unknown as createEntryCalls.EntryCallsOptions)
  const app = new Koa()
  app.use(calls.middleware)
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  return listener.address
}

/** Sends a call with a body of the largest size but for its last byte. */
async function sendUnfinished (context: nodeTest.TestContext, { host, port }: types.Address): Promise<Caller> {
  const socket = net.connect(port, host)
  context.after(() => { socket.destroy() })
  socket.on('error', () => {})
  let received = ''
  socket.on('data', (bytes: Buffer) => { received += bytes.toString() })
  socket.write(`POST /services/api/orders HTTP/1.1\r\nhost: h\r\ncontent-length: ${types.MAXIMUM_CALL_BODY_BYTES}\r\n\r\n`)
  await Promise.race([new Promise((resolve) => { socket.write(Buffer.alloc(types.MAXIMUM_CALL_BODY_BYTES - 1, 'x'), resolve) }), new Promise((resolve) => { socket.once('close', resolve) })])
  return { received: () => received }
}

nodeTest.test('bodies beyond the memory for them are refused for another entry node, and stalled ones make room for others', LIMIT, async (context) => {
  const address = await startEntry(context)
  const callers = await Promise.all(Array.from({ length: STALLED_CALLERS }, async () => await sendUnfinished(context, address)))
  const countAnswers = (status: number): number => callers.filter(({ received }) => received().startsWith(`HTTP/1.1 ${status} `)).length
  const deadline = performance.now() + STALLED_MS
  while (countAnswers(503) < STALLED_CALLERS - MAXIMUM_HELD_CALLERS && performance.now() < deadline) await types.delay(10)
  assert.ok(countAnswers(503) >= STALLED_CALLERS - MAXIMUM_HELD_CALLERS, `${countAnswers(503)} refused`)
  assert.match(callers.find(({ received }) => received().startsWith('HTTP/1.1 503 '))?.received() ?? '', /retry-after: 1\r\n[^]*no-memory/i)
  await types.delay(STALLED_MS)
  const sound = await got.got.post(`http://${address.host}:${address.port}/services/api/orders`, { body: Buffer.alloc(types.MAXIMUM_CALL_BODY_BYTES), retry: { limit: 0 }, throwHttpErrors: false })
  assert.equal(sound.statusCode, 200)
  while (countAnswers(408) === 0 && performance.now() < deadline + 2 * STALLED_MS) await types.delay(10)
  assert.ok(countAnswers(408) > 0)
})
