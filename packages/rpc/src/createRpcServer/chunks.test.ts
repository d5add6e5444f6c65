/** Guards against requests between daemons in chunks of one byte, which cost far more than their payload. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import Koa from 'koa'
import * as types from '@switchridge/types'
import * as rpc from '../index.js'

const IDENTITY = { deployment: 'depozit', sharedKey: 'a-key-of-some-length' }
const CHUNKS = '1\r\n \r\n'.repeat(10_000)

nodeTest.test('a request in chunks of one byte gets 400 and loses its connection, and other requests are answered', { timeout: 20_000 }, async (context) => {
  const app = new Koa()
  app.use(rpc.createRpcServer(IDENTITY, { add: (params) => (params as number[])[0]! + 1 }))
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  const agents = rpc.createHttpAgents()
  const socket = net.connect(listener.address.port, types.LOOPBACK_HOST)
  context.after(() => {
    socket.destroy()
    agents.destroy()
    listener.abort()
  })
  let received = ''
  let sentBytes = 0
  socket.on('data', (bytes: Buffer) => { received += bytes.toString() })
  socket.on('error', () => {})
  const closed = new Promise((resolve) => { socket.once('close', resolve) })
  const headers = Object.entries(rpc.createIdentityHeaders(IDENTITY)).map(([name, value]) => `${name}: ${String(value)}\r\n`).join('')
  socket.write(`POST ${rpc.RPC_PATH} HTTP/1.1\r\nhost: daemon\r\n${headers}transfer-encoding: chunked\r\n\r\n`)
  send()
  socket.on('drain', send)
  await closed
  assert.match(received, /^HTTP\/1.1 400 [^]*the framing of the body exceeds it by more than 131072 bytes/)
  assert.ok(sentBytes < 4 * types.BYTES_IN_MEBIBYTE, `${sentBytes} bytes`)
  assert.deepEqual(await rpc.createRpcClient(IDENTITY, agents).call(listener.address, 'add', [1]), { ok: true, value: 2 })

  function send (): void {
    do sentBytes += CHUNKS.length
    while (!socket.destroyed && socket.write(CHUNKS))
  }
})

/** Guards against the end of the process: a request that is read as an async iterable and given up loses its socket, and the bound of what is discarded threw an error. */
nodeTest.test('a request longer than the bound gets 400, and the process goes on', { timeout: 20_000 }, async (context) => {
  const app = new Koa()
  app.use(rpc.createRpcServer(IDENTITY, { add: (params) => (params as number[])[0]! + 1 }))
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    listener.abort()
  })
  const headers = rpc.createIdentityHeaders(IDENTITY)
  for (let count = 0; count < 5; count += 1) {
    const sent = await rpc.sendRequest(agents, { base: rpc.formatBaseUrl(agents, listener.address), path: rpc.RPC_PATH, method: 'POST', headers, body: Buffer.alloc(4 * types.BYTES_IN_MEBIBYTE) }, types.BYTES_IN_MEBIBYTE)
    if (sent.ok) assert.equal(sent.value.status, 400)
    assert.deepEqual(await rpc.createRpcClient(IDENTITY, agents).call(listener.address, 'add', [1]), { ok: true, value: 2 })
  }
})
