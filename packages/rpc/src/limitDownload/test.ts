/** Guards against bodies without end that got would buffer. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as zlib from 'node:zlib'
import * as got from 'got'
import * as types from '@switchridge/types'
import * as endlessServer from '../_lib/endlessServer.js'
import * as rpc from '../index.js'

const LIMIT = { timeout: 20_000 }
const MAXIMUM_BYTES = 100_000
const MAXIMUM_SENT_BYTES = 16 * types.BYTES_IN_MEBIBYTE
const BYTES = 'x'.repeat(65_536)
const HEADS = { chunked: 'transfer-encoding: chunked\r\n', unframed: '', measured: 'content-length: 314572800\r\n' }
const TOO_LARGE = /the body of the answer exceeds 100000 bytes/

for (const [framing, header] of Object.entries(HEADS)) {
  nodeTest.test(`a ${framing} body without end is not buffered, and its connection is closed`, LIMIT, async (context) => {
    const part = framing === 'chunked' ? `10000\r\n${BYTES}\r\n` : BYTES
    const server = await endlessServer.openEndlessServer(context, part, `HTTP/1.1 200 OK\r\n${header}\r\n`)
    const request = got.got(server.base, { agent: { http: server.agents.http }, retry: { limit: 0 }, responseType: 'buffer' })
    await assert.rejects(rpc.limitDownload(request, MAXIMUM_BYTES), TOO_LARGE)
    await server.waitUntilClosed()
    assert.ok(server.sentBytes() < MAXIMUM_SENT_BYTES, `${server.sentBytes()} bytes`)
  })
}

async function openServer (context: nodeTest.TestContext, body: Buffer, headers: Record<string, string>): Promise<string> {
  const listener = await rpc.listenHttp((_request, response) => {
    response.writeHead(200, headers)
    response.end(body)
  }, { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  return `http://${types.LOOPBACK_HOST}:${listener.address.port}`
}

nodeTest.test('a body that is only small while it is compressed is not buffered', LIMIT, async (context) => {
  const base = await openServer(context, zlib.gzipSync(Buffer.alloc(100 * types.BYTES_IN_MEBIBYTE)), { 'content-encoding': 'gzip' })
  await assert.rejects(rpc.limitDownload(got.got(base, { retry: { limit: 0 }, responseType: 'buffer' }), MAXIMUM_BYTES), TOO_LARGE)
})

nodeTest.test('a body of the largest size is returned', LIMIT, async (context) => {
  const base = await openServer(context, Buffer.alloc(MAXIMUM_BYTES), {})
  assert.equal((await rpc.limitDownload(got.got(base, { retry: { limit: 0 }, responseType: 'buffer', resolveBodyOnly: true }), MAXIMUM_BYTES)).length, MAXIMUM_BYTES)
})

nodeTest.test('other errors of a request are passed on', LIMIT, async () => {
  await assert.rejects(rpc.limitDownload(got.got(`http://${types.LOOPBACK_HOST}:1`, { retry: { limit: 0 } }), MAXIMUM_BYTES), /ECONNREFUSED/)
})
