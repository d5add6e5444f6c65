/** Guards against an unknown outcome of a call that was never sent: a backend daemon that was restarting refused the connection, and a reservation could not be repeated elsewhere. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as sendAttempt from './index.js'

const DEADLINE_MS = 5000

/** Listens on a port and returns it; each connection is closed as soon as it sends anything. */
async function listenAndClose (context: nodeTest.TestContext): Promise<number> {
  const server = net.createServer((socket) => { socket.once('data', () => { socket.destroy() }) })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  context.after(() => { server.close() })
  return (server.address() as net.AddressInfo).port
}

async function findClosedPort (): Promise<number> {
  const server = net.createServer()
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
  return port
}

async function send (port: number, member: Partial<types.MemberFacts> = {}): Promise<sendAttempt.AttemptResult> {
  const agents = rpc.createHttpAgents()
  const identity = { deployment: 'test', sharedKey: '' }
  const call = {
    service: types.brandId<types.ServiceName>('stock'),
    row: '',
    account: { id: 'account', share: 1, priority: 'interactive' } as unknown as types.AccountRow,
    method: 'POST',
    path: '/reservations',
    headers: {},
    body: Buffer.from('reservation'),
    isRepeatable: false,
    deadlineAt: performance.now() + DEADLINE_MS
  }
  const backend = { node: 'backend', incarnation: '1', address: { host: types.LOOPBACK_HOST, port }, ...member } as unknown as types.MemberFacts
  const result = await sendAttempt.sendAttempt(call, backend, {
    self: types.brandId('entry'), identity, agents, client: rpc.createRpcClient(identity, agents), now: () => performance.now(), signal: new AbortController().signal
  })
  agents.destroy()
  return result
}

nodeTest.test('a call that reached no connection to its daemon was not run', async () => {
  assert.equal((await send(await findClosedPort())).kind, 'not-run')
})

nodeTest.test('a call whose connection broke after it was sent may have run', async (context) => {
  assert.equal((await send(await listenAndClose(context))).kind, 'unknown')
})

/** Guards against a call that ends because one of its back ends has an address or an incarnation that no request can hold. */
nodeTest.test('a call to a member that no request can be sent to was not run, and goes elsewhere', async () => {
  const members = [{ address: { host: types.LOOPBACK_HOST, port: 70_000 } }, { address: { host: 'a b', port: 80 } }, { incarnation: types.brandId<types.IncarnationId>('a\r\nb') }]
  for (const member of members) {
    const result = await send(await findClosedPort(), member)
    assert.deepEqual([result.kind, result.kind === 'answered' ? '' : result.reason], ['not-run', sendAttempt.NOT_CONNECTED_REASON])
    assert.ok(result.kind === 'not-run' && result.error !== undefined)
  }
})
