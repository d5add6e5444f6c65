/** Guards against a call that ends back ends and is still sent to another one: it was blocked while it waited in the queue, and was not checked again. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as got from 'got'
import Koa from 'koa'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import type * as sendAttempt from '../sendAttempt/index.js'
import * as createEntryCalls from './index.js'

const SERVICE = { id: types.brandId<types.ServiceName>('api'), kind: 'plain', repeatable: 'none', retryBudget: 0, concurrency: 1, queue: 1, timeoutMs: 5000 } as unknown as types.ServiceRow
const BACKEND = { node: types.brandId<types.NodeId>('backend') } as unknown as types.MemberFacts
const BLOCKED_MS = 60_000

nodeTest.test('a call that is blocked while it waits in the queue is refused and not sent, and its slot is free again', async (context) => {
  let outstanding = 0
  let isBlocked = false
  const sent: sendAttempt.OutgoingCall[] = []
  const calls = createEntryCalls.createEntryCalls({
    table: () => ({ ...types.EMPTY_TABLE, services: [SERVICE] }),
    dispatcher: {
      submit: () => {
        isBlocked = true
        outstanding += 1
        return { backend: Promise.resolve(types.succeed(BACKEND)), cancel: () => {} }
      },
      dispatchWaiting: () => {},
      waiting: () => 0
    },
    loads: { noteEnded: () => { outstanding -= 1 } },
    limiter: { take: () => 0 },
    send: async (call: sendAttempt.OutgoingCall) => {
      sent.push(call)
      return { kind: 'not-run', reason: 'sent', load: undefined }
    },
    register: { open: () => ({ noteEnding: () => {}, close: () => {} }) },
    endsAt: () => Infinity,
    guard: { isActive: () => true, readBlockedMs: () => isBlocked ? BLOCKED_MS : null, onBlocked: () => {} },
    logger: { info: () => {} },
    metrics: { increment: () => {}, timing: () => {} },
    health: { noteFailure: () => {} },
    now: () => 0,
    at: () => () => {}
  } as unknown as createEntryCalls.EntryCallsOptions)
  const app = new Koa()
  app.use(calls.middleware)
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  const answer = await got.got.post(`http://${types.LOOPBACK_HOST}:${listener.address.port}/services/api/orders`, { body: 'order', retry: { limit: 0 }, throwHttpErrors: false })
  assert.deepEqual({ status: answer.statusCode, reason: answer.headers['x-switchridge-reason'], sent: sent.length }, { status: 503, reason: 'blocked', sent: 0 })
  assert.equal(outstanding, 0)
})
