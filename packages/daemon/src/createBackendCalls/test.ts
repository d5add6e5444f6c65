/**
 * Guards against a version that never unloads: a call that ended with an exception kept its version in use; and against a daemon that hides that it leaves: it refused calls
 * as not serving, because it had removed its versions, so that entry nodes went on sending calls there.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as got from 'got'
import Koa from 'koa'
import * as observability from '@switchridge/observability'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import * as transfer from '@switchridge/transfer'
import * as types from '@switchridge/types'
import * as createServedVersions from '../createServedVersions/index.js'
import * as callHeaders from '../_lib/callHeaders.js'
import * as createBackendCalls from './index.js'

const IDENTITY: rpc.Identity = { deployment: 'test', sharedKey: '' }
const ROW = types.brandId<types.RowId>('m')
const MANIFEST = types.brandId<types.Digest>('a'.repeat(64))
const TICKET = types.brandId<types.TicketId>('ticket')
/** The client of the runtime throws on a method with a space. */
const CALL = { service: 'llm', row: ROW, account: 'account', share: 1, priority: 'interactive', method: 'NO METHOD', deadlineMs: 5000, isRepeatable: false }

type Parts = Pick<createBackendCalls.BackendCallsOptions, 'admission' | 'tickets' | 'serving'>

/** Sends a call to a daemon with the given parts. */
async function sendCall (context: nodeTest.TestContext, parts: Parts): Promise<{ status: number, reason: string }> {
  const agents = rpc.createHttpAgents()
  const app = new Koa()
  app.on('error', () => {})
  app.use(createBackendCalls.createBackendCalls({
    identity: IDENTITY,
    service: types.brandId('llm'),
    incarnation: types.brandId('1'),
    url: `http://${types.LOOPBACK_HOST}:9`,
    isEngine: true,
    agents,
    uplink: transfer.createLinkPacer(0, () => 0),
    count: () => {},
    register: observability.createCallRegister({ logger: observability.createLogger('backend-calls', {}, { level: 'silent' }), count: () => {}, readConfiguration: () => null, now: () => 0 }),
    onQueueFull: () => {},
    after: () => () => {},
    onAnswer: () => {},
    findTerminatedInstance: async () => null,
    ...parts
  }))
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => {
    listener.abort()
    agents.destroy()
  })
  const headers = { ...rpc.createIdentityHeaders(IDENTITY), [callHeaders.TICKET_HEADER]: TICKET, [callHeaders.INCARNATION_HEADER]: '1', [callHeaders.CALL_HEADER]: JSON.stringify(CALL) }
  const answer = await got.got.post(`http://${types.LOOPBACK_HOST}:${listener.address.port}/calls/generate`, { headers, body: 'prompt', retry: { limit: 0 }, throwHttpErrors: false })
  return { status: answer.statusCode, reason: String(answer.headers[callHeaders.REASON_HEADER] ?? '') }
}

nodeTest.test('a call that ends with an exception keeps neither its version nor its ticket in use', async (context) => {
  const serving = createServedVersions.createServedVersions()
  serving.set({ row: ROW, version: '1', manifest: MANIFEST })
  const tickets = routing.createTickets()
  const { status } = await sendCall(context, { admission: routing.createAdmission(1, 1), tickets, serving })
  assert.equal(status, 500)
  const released = serving.whenReleased(MANIFEST).then(() => 'released')
  assert.equal(await Promise.race([released, new Promise((resolve) => { setImmediate(() => { resolve('in use') }) })]), 'released')
  assert.equal(tickets.resolve(TICKET), 'ran')
})

nodeTest.test('a daemon that leaves says so when it serves no version any more, and one that does not leave says that it serves none', async (context) => {
  const serving = createServedVersions.createServedVersions()
  const admission = routing.createAdmission(1, 1)
  const tickets = routing.createTickets()
  assert.deepEqual(await sendCall(context, { admission, tickets: routing.createTickets(), serving }), { status: 503, reason: 'not-serving' })
  admission.close()
  assert.deepEqual(await sendCall(context, { admission, tickets, serving }), { status: 503, reason: 'leaving' })
  assert.equal(tickets.resolve(TICKET), 'not-run')
})
