/** Guards against a redirection whose body is read and discarded without end. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as got from 'got'
import * as types from '@switchridge/types'
import * as endlessServer from '../_lib/endlessServer.js'
import * as rpc from '../index.js'

const LIMIT = { timeout: 20_000 }
const MAXIMUM_SENT_BYTES = 16 * types.BYTES_IN_MEBIBYTE
const PARTS = { 'large chunks': `10000\r\n${'x'.repeat(65_536)}\r\n`, 'chunks of one byte': '1\r\nx\r\n'.repeat(10_000) }

for (const [name, part] of Object.entries(PARTS)) {
  nodeTest.test(`a redirection whose body comes in ${name} without end has its connection closed`, LIMIT, async (context) => {
    const target = await rpc.listenHttp((_request, response) => { response.end('found') }, { host: types.LOOPBACK_HOST, port: 0 })
    context.after(() => { target.abort() })
    const server = await endlessServer.openEndlessServer(context, part, `HTTP/1.1 302 Found\r\nlocation: http://${types.LOOPBACK_HOST}:${target.address.port}/\r\ntransfer-encoding: chunked\r\n\r\n`)
    const request = got.got(server.base, { retry: { limit: 0 }, responseType: 'text', resolveBodyOnly: true })
    // The request itself may be over before the body of the redirection is.
    const text = await rpc.limitDownload(request, 1000).catch((thrown: unknown) => types.describeError(thrown))
    assert.match(text, /^(?:found|The server aborted pending request)$/)
    await server.waitUntilClosed()
    assert.ok(server.sentBytes() < MAXIMUM_SENT_BYTES, `${server.sentBytes()} bytes`)
  })
}

nodeTest.test('a redirection with a body is followed', LIMIT, async (context) => {
  const listener = await rpc.listenHttp((request, response) => {
    if (request.url === '/') response.writeHead(302, { location: '/found' })
    response.end(request.url === '/' ? 'x'.repeat(10_000) : 'found')
  }, { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  const request = got.got(`http://${types.LOOPBACK_HOST}:${listener.address.port}/`, { retry: { limit: 0 }, responseType: 'text', resolveBodyOnly: true })
  assert.equal(await rpc.limitDownload(request, 1000), 'found')
})
