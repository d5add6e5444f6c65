/** Guards against bodies within their bound whose parts or framing cost far more, read by got. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as got from 'got'
import * as types from '@switchridge/types'
import * as endlessServer from '../_lib/endlessServer.js'
import * as rpc from '../index.js'

const LIMIT = { timeout: 60_000 }
const MAXIMUM_BYTES = 16 * types.BYTES_IN_MEBIBYTE
const MAXIMUM_SENT_BYTES = 8 * types.BYTES_IN_MEBIBYTE
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'

nodeTest.test('a body in chunks of one byte without end fails long before its payload reaches the bound', LIMIT, async (context) => {
  const server = await endlessServer.openEndlessServer(context, '1\r\nx\r\n'.repeat(10_000), CHUNKED_HEAD)
  const request = got.got(server.base, { agent: { http: server.agents.http }, retry: { limit: 0 }, responseType: 'buffer' })
  await assert.rejects(rpc.limitDownload(request, MAXIMUM_BYTES), /the framing of the answer exceeds 131072 bytes/)
  await server.waitUntilClosed()
  assert.ok(server.sentBytes() < MAXIMUM_SENT_BYTES, `${server.sentBytes()} bytes`)
})

nodeTest.test('a body that comes byte by byte in reads of their own is given up once its parts exceed the bound', LIMIT, async (context) => {
  let sent = 0
  const listener = await rpc.listenHttp((_request, response) => {
    response.on('error', () => {})
    response.writeHead(200, { 'content-length': 10_000 })
    const timer = setInterval(() => {
      response.write('x')
      sent += 1
    }, 1)
    context.after(() => { clearInterval(timer) })
  }, { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  const request = got.got(`http://${types.LOOPBACK_HOST}:${listener.address.port}`, { retry: { limit: 0 }, responseType: 'buffer' })
  await assert.rejects(rpc.limitDownload(request, 100_000), /the framing of the answer exceeds 100000 bytes/)
  assert.ok(sent < 2000, `${sent} bytes`)
})

nodeTest.test('a body of two thirds of the bound in chunks of 20 bytes is returned, also after a redirection', LIMIT, async (context) => {
  const text = 'x'.repeat(20)
  const listener = await rpc.listenHttp((request, response) => {
    response.on('error', () => {})
    if (request.url === '/') {
      response.writeHead(302, { location: '/body' })
      response.end(text)
      return
    }
    let sent = 0
    send()
    response.on('drain', send)

    function send (): void {
      while (sent < 30_000) {
        sent += 1
        if (!response.write(text)) return
      }
      response.end()
    }
  }, { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  const request = got.got(`http://${types.LOOPBACK_HOST}:${listener.address.port}`, { retry: { limit: 0 }, responseType: 'buffer', resolveBodyOnly: true })
  assert.equal((await rpc.limitDownload(request, 900_000)).length, 600_000)
})
