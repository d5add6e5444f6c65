/** Guards against refused calls whose cause cannot be found afterwards: the log named the outcome of the call, but no attempt, and not why the call was not sent again. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import Koa from 'koa'
import type * as observability from '@switchridge/observability'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import type * as sendAttempt from '../sendAttempt/index.js'
import * as createEntryCalls from './index.js'

const BACKEND = { node: types.brandId<types.NodeId>('backend'), incarnation: types.brandId<types.IncarnationId>('1') } as unknown as types.MemberFacts
const FULL: sendAttempt.AttemptResult = { kind: 'not-run', reason: 'full', load: undefined }
const LEAVING: sendAttempt.AttemptResult = { kind: 'not-run', reason: 'leaving', load: undefined }
const ENDED: sendAttempt.AttemptResult = { kind: 'not-run', reason: 'restarted', load: undefined }
const BROKEN: sendAttempt.AttemptResult = { kind: 'unknown', reason: 'connection-broke-running', load: undefined }

/** Sends a call whose attempts all have the same result; returns the events of its log, each with the fields that say how it went on. */
async function logCall (context: nodeTest.TestContext, result: sendAttempt.AttemptResult, retryBudget: number): Promise<string[]> {
  const service = { id: types.brandId<types.ServiceName>('api'), kind: 'plain', repeatable: 'none', retryBudget, concurrency: 1, queue: 1, deadlineMs: 5000 } as unknown as types.ServiceRow
  const events: string[] = []
  const calls = createEntryCalls.createEntryCalls({
    table: () => ({ ...types.EMPTY_TABLE, services: [service] }),
    dispatcher: { submit: () => ({ backend: Promise.resolve(types.succeed(BACKEND)), cancel: () => {} }), dispatchWaiting: () => {}, waiting: () => 0 },
    loads: { noteEnded: () => {} },
    limiter: { take: () => 0 },
    send: async () => result,
    register: { open: () => ({ noteEnding: () => {}, close: () => {} }) },
    endsAt: () => Infinity,
    guard: { isActive: () => false, onBlocked: () => {}, noteLost: async () => {} },
    logger: { info: (event: string, fields: observability.LogFields) => { events.push([event, fields['reason'], fields['attempt'] ?? fields['attempts'], fields['obstacle'] ?? '', fields['retriesLeft'] ?? ''].join(' ')) } },
    metrics: { increment: () => {}, timing: () => {} },
    health: { noteFailure: () => {} },
    onLeaving: () => {},
    onEnded: () => {},
    now: () => 0,
    at: () => () => {}
  } as unknown as createEntryCalls.EntryCallsOptions)
  const app = new Koa()
  app.use(calls.middleware)
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  const agents = rpc.createHttpAgents()
  context.after(agents.destroy)
  assert.ok((await rpc.sendRequest(agents, { base: `http://${types.LOOPBACK_HOST}:${listener.address.port}`, path: '/services/api/orders', method: 'POST', headers: {} }, types.BYTES_IN_MEBIBYTE)).ok)
  return events
}

nodeTest.test('each failed attempt is logged with what is left of the retry budget, and the last one with the reason why the call is not sent again', async (context) => {
  assert.deepEqual(await logCall(context, FULL, 0.02), ['attempt-failed full 1  0', 'attempt-failed full 2 budget 0', 'call-not-answered full 2 budget '])
  assert.deepEqual(await logCall(context, FULL, 1), [1, 2, 3, 4].map((attempt) => `attempt-failed full ${attempt}  ${6 - attempt}`).concat(['attempt-failed full 5 attempts 1', 'call-not-answered full 5 attempts ']))
  assert.deepEqual(await logCall(context, BROKEN, 1), ['attempt-failed connection-broke-running 1 not-repeatable 5', 'call-not-answered connection-broke-running 1 not-repeatable '])
})

nodeTest.test('a refusal by a backend server that leaves is not charged to the retry budget, but each further one by the same process is', async (context) => {
  assert.deepEqual(await logCall(context, LEAVING, 0.02), ['attempt-failed leaving 1  1', 'attempt-failed leaving 2  0', 'attempt-failed leaving 3 budget 0', 'call-not-answered leaving 3 budget '])
})

nodeTest.test('a refusal on account of a process that has ended is not charged to the retry budget, but each further one is', async (context) => {
  assert.deepEqual(await logCall(context, ENDED, 0.02), ['attempt-failed restarted 1  1', 'attempt-failed restarted 2  0', 'attempt-failed restarted 3 budget 0', 'call-not-answered restarted 3 budget '])
})
