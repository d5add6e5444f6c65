/** Guards against calls that wait for a back end after they were ended: callers got no answer when their entry node ended before their deadline. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import Koa from 'koa'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import type * as createClaims from '../createClaims/index.js'
import * as callHeaders from '../_lib/callHeaders.js'
import * as createEntryCalls from './index.js'

const SERVICE_UNAVAILABLE = 503
const LIMIT = { timeout: 5000 }

nodeTest.test('a call that is ended while its idempotency key is claimed does not wait for a back end', LIMIT, async (context) => {
  const service = { id: types.brandId<types.ServiceName>('api'), kind: 'plain', repeatable: 'none', retryBudget: 1, concurrency: 1, queue: 1, deadlineMs: 60_000 } as unknown as types.ServiceRow
  let confirmClaim: (result: createClaims.ClaimResult) => void = () => {}
  let noteClaimed: () => void = () => {}
  const isClaimed = new Promise<void>((resolve) => { noteClaimed = resolve })
  const calls = createEntryCalls.createEntryCalls({
    table: () => ({ ...types.EMPTY_TABLE, services: [service] }),
    dispatcher: {
      submit: () => {
        let cancel: (reason: routing.RefusalReason) => void = () => {}
        const backend = new Promise((resolve) => { cancel = (reason) => { resolve(types.fail(new routing.NotRunError(reason))) } })
        return { backend, cancel }
      }
    },
    claims: {
      acquire: async () => {
        noteClaimed()
        return await new Promise((resolve) => { confirmClaim = resolve })
      }
    },
    limiter: { take: () => 0 },
    register: { open: () => ({ noteEnding: () => {}, close: () => {} }) },
    endsAt: () => Infinity,
    guard: { isActive: () => false, onBlocked: () => {} },
    logger: { info: () => {} },
    metrics: { increment: () => {}, timing: () => {} },
    now: () => 0,
    at: () => () => {}
  } as unknown as createEntryCalls.EntryCallsOptions)
  const app = new Koa()
  app.use(calls.middleware)
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  const agents = rpc.createHttpAgents()
  context.after(agents.destroy)
  const answer = rpc.sendRequest(agents, { base: `http://${types.LOOPBACK_HOST}:${listener.address.port}`, path: '/services/api/orders', method: 'POST', headers: { [callHeaders.IDEMPOTENCY_KEY_HEADER]: 'key' } }, types.BYTES_IN_MEBIBYTE)
  await isClaimed
  calls.endAll()
  confirmClaim({ kind: 'taken', claim: { finish: async () => {}, release: async () => {} } })
  const answered = await answer
  assert.ok(answered.ok)
  assert.deepEqual([answered.value.status, answered.value.headers[callHeaders.REASON_HEADER]], [SERVICE_UNAVAILABLE, 'leaving'])
})
