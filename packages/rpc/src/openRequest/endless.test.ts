/** Guards against servers that send a body, its framing or bytes after it without end. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as endlessServer from '../_lib/endlessServer.js'
import * as rpc from '../index.js'

const LIMIT = { timeout: 20_000 }
const MAXIMUM_BYTES = 10_000
/** What the client reads at most, and what the buffers of the system take on both sides. */
const MAXIMUM_SENT_BYTES = 16 * types.BYTES_IN_MEBIBYTE
const HEAD = 'HTTP/1.1 200 OK\r\n'
const CHUNKED_HEAD = `${HEAD}transfer-encoding: chunked\r\n\r\n`
const BYTES = 'x'.repeat(65_536)
const CHUNK = `10000\r\n${BYTES}\r\n`
/** As long as Node.js accepts it. */
const EXTENSION = `1;${'e'.repeat(16_000)}\r\nx\r\n`

const ANSWERS = [
  { name: 'a body in chunks', head: CHUNKED_HEAD, part: CHUNK, reason: /the body of the answer exceeds 10000 bytes/ },
  { name: 'a body without framing', head: `${HEAD}\r\n`, part: BYTES, reason: /the body of the answer exceeds 10000 bytes/ },
  { name: 'a body with its length', head: `${HEAD}content-length: 314572800\r\n\r\n`, part: BYTES, reason: /the body of the answer exceeds 10000 bytes/ },
  { name: 'a chunk extension', head: `${CHUNKED_HEAD}1;`, part: BYTES, reason: /Parse Error: Chunk extensions overflow/ },
  { name: 'chunks of one byte with long extensions', head: CHUNKED_HEAD, part: EXTENSION, reason: /the framing of the answer exceeds 125536 bytes/ },
  { name: 'a trailer', head: `${CHUNKED_HEAD}0\r\n`, part: 'x-trailer: value\r\n'.repeat(1000), reason: /Parse Error: Header overflow/ }
]

for (const { name, head, part, reason } of ANSWERS) {
  nodeTest.test(`${name} without end: the request fails and its connection is closed`, LIMIT, async (context) => {
    const server = await endlessServer.openEndlessServer(context, part, head)
    const sent = await rpc.sendRequest(server.agents, { base: server.base, path: '/report', method: 'GET', headers: {} }, MAXIMUM_BYTES)
    assert.match(sent.ok ? 'answered' : sent.error.message, reason)
    await server.waitUntilClosed()
    assert.ok(server.sentBytes() < MAXIMUM_SENT_BYTES, `${server.sentBytes()} bytes`)
  })
}

for (const pauseMs of [0, 50]) {
  nodeTest.test(`bytes without end ${pauseMs} ms after a whole answer: the answer counts, and its kept connection is closed`, LIMIT, async (context) => {
    const server = await endlessServer.openEndlessServer(context, BYTES, `${HEAD}content-length: 2\r\n\r\nok`, pauseMs)
    const sent = await rpc.sendRequest(server.agents, { base: server.base, path: '/report', method: 'GET', headers: {} }, MAXIMUM_BYTES)
    assert.equal(sent.ok ? sent.value.body.toString() : sent.error.message, 'ok')
    await server.waitUntilClosed()
    assert.ok(server.sentBytes() < MAXIMUM_SENT_BYTES, `${server.sentBytes()} bytes`)
  })
}

nodeTest.test('a body of the largest size is received when each of its bytes comes in a chunk of its own', LIMIT, async (context) => {
  const server = await endlessServer.openEndlessServer(context, '\r\n'.repeat(1000), `${CHUNKED_HEAD}${'1\r\nx\r\n'.repeat(MAXIMUM_BYTES)}0\r\n\r\n`)
  const sent = await rpc.sendRequest(server.agents, { base: server.base, path: '/report', method: 'GET', headers: {} }, MAXIMUM_BYTES)
  assert.equal(sent.ok ? sent.value.body.length : sent.error.message, MAXIMUM_BYTES)
})
