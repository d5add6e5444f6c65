import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import Koa from 'koa'
import * as types from '@switchridge/types'
import * as rpc from '../index.js'

const IDENTITY = { deployment: 'depozit', sharedKey: 'a-key-of-some-length' }

async function openServer (methods: Record<string, rpc.RpcMethod>): Promise<rpc.HttpListener> {
  const app = new Koa()
  app.use(rpc.createRpcServer(IDENTITY, methods))
  return await rpc.listenHttp(app.callback(), { host: '127.0.0.1', port: 0 })
}

test.describe('createRpcServer', () => {
  test.it('returns the result of a method, and its error as a refusal', async () => {
    const listener = await openServer({ add: (params) => (params as number[])[0]! + 1, broken: () => { throw new Error('no such row') } })
    const agents = rpc.createHttpAgents()
    const client = rpc.createRpcClient(IDENTITY, agents)
    assert.deepEqual(await client.call(listener.address, 'add', [1]), { ok: true, value: 2 })
    const broken = await client.call(listener.address, 'broken', [])
    assert.ok(!broken.ok)
    assert.equal(broken.error.message, 'no such row')
    agents.destroy()
    await listener.close()
  })

  test.it('refuses a daemon of another deployment with the reason', async () => {
    const listener = await openServer({})
    const agents = rpc.createHttpAgents()
    const client = rpc.createRpcClient({ ...IDENTITY, deployment: 'flagwright' }, agents)
    const outcome = await client.call(listener.address, 'add', [1])
    assert.ok(!outcome.ok)
    assert.match(outcome.error.message, /deployment "flagwright" is not "depozit"/)
    agents.destroy()
    await listener.close()
  })

  test.it('closes the connection of a daemon of another deployment after the refusal if the body is long', async () => {
    const listener = await openServer({})
    const socket = net.connect(listener.address.port, listener.address.host)
    socket.write('POST /rpc HTTP/1.1\r\nHost:\r\nContent-Length: 1000000\r\n\r\n')
    let received = ''
    for await (const bytes of socket) received += String(bytes)
    assert.match(received, /^HTTP\/1.1 403 [^]*Connection: close/)
    await listener.close()
  })

  test.it('reports a closed port as unavailable', async () => {
    const listener = await openServer({})
    await listener.close()
    const agents = rpc.createHttpAgents()
    const outcome = await rpc.createRpcClient(IDENTITY, agents).call(listener.address, 'add', [1])
    assert.ok(!outcome.ok)
    assert.ok(outcome.error instanceof types.UnavailableError)
    agents.destroy()
  })
})
