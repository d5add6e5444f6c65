/** Guards against servers that send a head, or interim responses before it, without end. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as got from 'got'
import * as types from '@switchridge/types'
import * as endlessServer from '../_lib/endlessServer.js'
import * as rpc from '../index.js'

const LIMIT = { timeout: 20_000 }
const MAXIMUM_BODY_BYTES = 1024
/** What the client reads at most, and what the buffers of the system take on both sides. */
const MAXIMUM_SENT_BYTES = 16 * types.BYTES_IN_MEBIBYTE
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n'
const HEADS = [
  { name: 'interim responses', head: '', part: INTERIM.repeat(1000) },
  { name: 'a head', head: 'HTTP/1.1 200 OK\r\n', part: 'x-header: value\r\n'.repeat(1000) },
  { name: 'bytes that are not HTTP', head: '', part: 'x'.repeat(65_536) }
]

for (const { name, head, part } of HEADS) {
  for (const closeAfterResponse of [false, true]) {
    nodeTest.test(`${name} without end: the request fails and its connection is closed (${closeAfterResponse ? 'no keep-alive' : 'keep-alive'})`, LIMIT, async (context) => {
      const server = await endlessServer.openEndlessServer(context, part, head)
      const sent = await rpc.sendRequest(server.agents, { base: server.base, path: '/report', method: 'GET', headers: {}, closeAfterResponse }, MAXIMUM_BODY_BYTES)
      assert.equal(sent.ok, false)
      await server.waitUntilClosed()
      assert.ok(server.sentBytes() < MAXIMUM_SENT_BYTES, `${server.sentBytes()} bytes`)
    })
  }
}

nodeTest.test('the error names the limit that was exceeded', LIMIT, async (context) => {
  const server = await endlessServer.openEndlessServer(context, INTERIM.repeat(1000))
  const sent = await rpc.sendRequest(server.agents, { base: server.base, path: '/report', method: 'GET', headers: {} }, MAXIMUM_BODY_BYTES)
  assert.match(sent.ok ? '' : sent.error.message, /the head of the answer exceeds 65536 bytes/)
})

nodeTest.test('interim responses without end: a request of got over the same agents fails', LIMIT, async (context) => {
  const server = await endlessServer.openEndlessServer(context, INTERIM.repeat(1000))
  await assert.rejects(got.got(server.base, { agent: { http: server.agents.http }, retry: { limit: 0 } }).text(), /the head of the answer exceeds 65536 bytes/)
})

nodeTest.test('a large body after an interim response is received', LIMIT, async (context) => {
  const body = 'x'.repeat(200_000)
  const listener = await rpc.listenHttp((_request, response) => {
    response.writeEarlyHints({ link: '</style.css>; rel=preload' })
    response.end(body)
  }, { host: types.LOOPBACK_HOST, port: 0 })
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    listener.abort()
  })
  for (let request = 0; request < 2; request += 1) {
    const sent = await rpc.sendRequest(agents, { base: rpc.formatBaseUrl(agents, listener.address), path: '/', method: 'GET', headers: {} }, body.length)
    assert.equal(sent.ok ? sent.value.body.length : sent.error.message, body.length)
  }
})
