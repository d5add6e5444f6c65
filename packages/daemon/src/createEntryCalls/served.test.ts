/** Guards against an error that clears the prefix of a prompt of the back ends that ended under it, although the back end that answered may not have read the prompt. */
import * as assert from 'node:assert/strict'
import type * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as stream from 'node:stream'
import * as got from 'got'
import Koa from 'koa'
import type * as quarantine from '@switchridge/quarantine'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as createEntryCalls from './index.js'

const SERVICE = { id: types.brandId<types.ServiceName>('api'), kind: 'plain', repeatable: 'none', retryBudget: 0, concurrency: 1, queue: 1, timeoutMs: 5000 } as unknown as types.ServiceRow
const BACKEND = { node: types.brandId<types.NodeId>('backend') } as unknown as types.MemberFacts

/** Calls an entry node whose back end answers with a status; returns the parts that are reported as served. */
async function callWithPrefix (context: nodeTest.TestContext, statusCode: number): Promise<readonly string[] | undefined> {
  const served: quarantine.CallFeatures[] = []
  const calls = createEntryCalls.createEntryCalls({
    table: () => ({ ...types.EMPTY_TABLE, services: [SERVICE] }),
    dispatcher: { submit: () => ({ backend: Promise.resolve(types.succeed(BACKEND)), cancel: () => {} }), dispatchWaiting: () => {}, waiting: () => 0 },
    loads: { noteEnded: () => {} },
    limiter: { take: () => 0 },
    send: async () => ({ kind: 'answered', response: Object.assign(stream.Readable.from([Buffer.from('answer')]), { statusCode, headers: {} }) as unknown as http.IncomingMessage, load: undefined }),
    register: { open: () => ({ noteEnding: () => {}, close: () => {} }) },
    endsAt: () => Infinity,
    guard: { isActive: () => true, readBlockedMs: () => null, onBlocked: () => {}, noteServed: (call: quarantine.CallFeatures) => { served.push(call) }, noteLost: async () => {} },
    logger: { info: () => {} },
    metrics: { increment: () => {}, timing: () => {} },
    health: { noteFailure: () => {}, noteSuccess: () => {} },
    now: () => 0,
    at: () => () => {}
  } as unknown as createEntryCalls.EntryCallsOptions)
  const app = new Koa()
  app.use(calls.middleware)
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  const answer = await got.got.post(`http://${types.LOOPBACK_HOST}:${listener.address.port}/services/api/orders`, { body: 'order', headers: { 'x-prompt-prefix': 'a1' }, retry: { limit: 0 }, throwHttpErrors: false })
  assert.equal(answer.statusCode, statusCode)
  return served[0]?.parts
}

nodeTest.test('a success clears the prefix of its prompt, an error does not', async (context) => {
  assert.deepEqual(await callWithPrefix(context, 200), ['#a1'])
  for (const status of [404, 500]) assert.deepEqual(await callWithPrefix(context, status), [])
})
