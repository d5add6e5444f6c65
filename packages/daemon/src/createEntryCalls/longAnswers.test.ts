/** Guards against entry nodes that hold the whole answer of a call with an idempotency key, however long it is, although only a short one is stored. */
import * as assert from 'node:assert/strict'
import type * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as stream from 'node:stream'
import * as got from 'got'
import Koa from 'koa'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as createClaims from '../createClaims/index.js'
import * as callHeaders from '../_lib/callHeaders.js'
import * as createEntryCalls from './index.js'

const SERVICE = { id: types.brandId<types.ServiceName>('api'), kind: 'plain', repeatable: 'none', retryBudget: 0, concurrency: 1, queue: 1, timeoutMs: 60_000 } as unknown as types.ServiceRow
const BACKEND = { node: types.brandId<types.NodeId>('backend') } as unknown as types.MemberFacts
const PART_BYTES = 65_536
const LONG_PARTS = 8192
/** A quarter of the long answer; the buffers that wait for the garbage collector are among them. */
const MAXIMUM_BUFFER_BYTES = 128 * types.BYTES_IN_MEBIBYTE
const LIMIT = { timeout: 60_000 }

interface Exchange {
  readonly received: number
  readonly stored: readonly createClaims.StoredAnswer[]
  readonly logged: readonly string[]
  /** Largest sum of the process's buffers while the answer was passed on. */
  readonly peakBytes: number
}

/** Calls with an idempotency key; the answer consists of parts of one size. */
async function callWithKey (context: nodeTest.TestContext, parts: number, partBytes: number): Promise<Exchange> {
  const stored: createClaims.StoredAnswer[] = []
  const logged: string[] = []
  let peakBytes = 0

  function * createParts (): Generator<Buffer> {
    for (let part = 0; part < parts; part += 1) {
      if (part % 100 === 0) peakBytes = Math.max(peakBytes, process.memoryUsage().arrayBuffers)
      yield Buffer.alloc(partBytes, 'x')
    }
  }

  const calls = createEntryCalls.createEntryCalls({
    table: () => ({ ...types.EMPTY_TABLE, services: [SERVICE] }),
    dispatcher: { submit: () => ({ backend: Promise.resolve(types.succeed(BACKEND)), cancel: () => {} }), dispatchWaiting: () => {}, waiting: () => 0 },
    loads: { noteEnded: () => {} },
    limiter: { take: () => 0 },
    claims: { acquire: async () => ({ kind: 'taken', claim: { finish: async (answer: createClaims.StoredAnswer) => { stored.push(answer) }, release: async () => {} } }) },
    send: async () => ({ kind: 'answered', response: Object.assign(stream.Readable.from(createParts()), { statusCode: 200, headers: { 'content-type': 'text/plain' } }) as unknown as http.IncomingMessage, load: undefined }),
    register: { open: () => ({ noteEnding: () => {}, close: () => {} }) },
    endsAt: () => Infinity,
    guard: { isActive: () => false, onBlocked: () => {}, noteServed: () => {}, noteLost: async () => {} },
    logger: { info: () => {}, warn: (event: string, fields: { readonly reason: string }) => { logged.push(`${event} ${fields.reason}`) } },
    metrics: { increment: () => {}, timing: () => {} },
    health: { noteFailure: () => {}, noteSuccess: () => {} },
    now: () => 0,
    at: () => () => {}
  } as unknown as createEntryCalls.EntryCallsOptions)
  const app = new Koa()
  app.use(calls.middleware)
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  let received = 0
  const answer = got.got.stream.post(`http://${types.LOOPBACK_HOST}:${listener.address.port}/services/api/orders`, { body: 'order', headers: { [callHeaders.IDEMPOTENCY_KEY_HEADER]: 'key' }, retry: { limit: 0 } })
  for await (const part of answer as AsyncIterable<Buffer>) received += part.length
  // The answer is stored after its end.
  await listener.close()
  return { received, stored, logged, peakBytes }
}

nodeTest.test('an answer that is too long to be stored is passed on whole, is not held, and its key stays claimed', LIMIT, async (context) => {
  const { received, stored, logged, peakBytes } = await callWithKey(context, LONG_PARTS, PART_BYTES)
  assert.equal(received, LONG_PARTS * PART_BYTES)
  assert.deepEqual(stored, [])
  assert.deepEqual(logged, ['answer-not-stored too-long'])
  assert.ok(peakBytes < MAXIMUM_BUFFER_BYTES, `${peakBytes} bytes`)
})

nodeTest.test('an answer of the largest size in parts of one byte is stored, and a longer one is not', LIMIT, async (context) => {
  const whole = await callWithKey(context, createClaims.MAXIMUM_STORED_ANSWER_BYTES, 1)
  assert.deepEqual(whole.stored.map(({ body, contentType }) => [body.toString(), contentType]), [['x'.repeat(createClaims.MAXIMUM_STORED_ANSWER_BYTES), 'text/plain']])
  assert.equal(whole.stored[0]?.body.buffer.byteLength, createClaims.MAXIMUM_STORED_ANSWER_BYTES)
  const longer = await callWithKey(context, createClaims.MAXIMUM_STORED_ANSWER_BYTES + 1, 1)
  assert.deepEqual([longer.received, longer.stored, longer.logged], [createClaims.MAXIMUM_STORED_ANSWER_BYTES + 1, [], ['answer-not-stored too-long']])
})
