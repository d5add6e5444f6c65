/** Guards against answers in bounds whose chunks of one byte cost far more than the bound, and against sound ones in small chunks that are taken for such. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as selfsigned from 'selfsigned'
import * as types from '@switchridge/types'
import * as endlessServer from '../_lib/endlessServer.js'
import * as rpc from '../index.js'

const LIMIT = { timeout: 60_000 }
const MAXIMUM_BYTES = 16 * types.BYTES_IN_MEBIBYTE
const MAXIMUM_SENT_BYTES = 4 * types.BYTES_IN_MEBIBYTE
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
const TOO_LARGE = /the framing of the answer exceeds 131072 bytes/

nodeTest.test('an answer in chunks of one byte without end fails long before its payload reaches the bound', LIMIT, async (context) => {
  const server = await endlessServer.openEndlessServer(context, '1\r\nx\r\n'.repeat(10_000), CHUNKED_HEAD)
  const sent = await rpc.sendRequest(server.agents, { base: server.base, path: '/report', method: 'GET', headers: {} }, MAXIMUM_BYTES)
  assert.match(sent.ok ? 'answered' : sent.error.message, TOO_LARGE)
  await server.waitUntilClosed()
  assert.ok(server.sentBytes() < MAXIMUM_SENT_BYTES, `${server.sentBytes()} bytes`)
})

nodeTest.test('many large answers at once, which are read in turn, are whole', LIMIT, async (context) => {
  const listener = await rpc.listenHttp((request, response) => {
    const part = Buffer.alloc(Number(request.url?.slice(1)), 'x')
    let left = Math.floor(MAXIMUM_BYTES / 4 / part.length)
    response.on('error', () => {})
    send()
    response.on('drain', send)

    function send (): void {
      while (left > 0) {
        left -= 1
        if (!response.write(part)) return
      }
      response.end()
    }
  }, { host: types.LOOPBACK_HOST, port: 0 })
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    listener.abort()
  })
  const sent = await Promise.all([30, 1000, 16_000, 65_536, 500_000].flatMap((bytes) => Array.from({ length: 4 }, async () => {
    const answer = await rpc.sendRequest(agents, { base: rpc.formatBaseUrl(agents, listener.address), path: `/${bytes}`, method: 'GET', headers: {} }, MAXIMUM_BYTES)
    return answer.ok ? 'whole' : answer.error.message
  })))
  assert.deepEqual(sent, sent.map(() => 'whole'))
})

async function createTlsMaterial (): Promise<rpc.TlsMaterial> {
  const generated = await selfsigned.generate([{ name: 'commonName', value: types.LOOPBACK_HOST }], {
    extensions: [{ name: 'basicConstraints', cA: true }, { name: 'subjectAltName', altNames: [{ type: 7, ip: types.LOOPBACK_HOST }] }]
  })
  return { certificate: generated.cert, privateKey: generated.private, authority: generated.cert }
}

for (const isSecure of [false, true]) {
  nodeTest.test(`chunks of a token each make a whole answer${isSecure ? ' over TLS' : ''}, also on kept connections, and those of one byte fail`, LIMIT, async (context) => {
    const tls = isSecure ? await createTlsMaterial() : undefined
    const listener = await rpc.listenHttp((request, response) => {
      const bytes = Number(request.url?.slice(1))
      response.on('error', () => {})
      send()
      response.on('drain', send)

      /** Node.js frames each write as a chunk. */
      function send (): void {
        for (let sent = 0; sent < 10_000; sent += 1) response.write('x'.repeat(bytes))
        if (response.writableEnded) return
        if (request.url === '/20') response.end()
      }
    }, { host: types.LOOPBACK_HOST, port: 0, ...(tls === undefined ? {} : { tls }) })
    const agents = rpc.createHttpAgents(tls)
    context.after(() => {
      agents.destroy()
      listener.abort()
    })
    const read = async (path: string) => await rpc.sendRequest(agents, { base: rpc.formatBaseUrl(agents, listener.address), path, method: 'GET', headers: {} }, MAXIMUM_BYTES)
    for (let count = 0; count < 20; count += 1) {
      const sent = await read('/20')
      assert.equal(sent.ok ? sent.value.body.length : sent.error.message, 200_000)
    }
    const sent = await read('/1')
    assert.match(sent.ok ? 'answered' : sent.error.message, TOO_LARGE)
  })
}
