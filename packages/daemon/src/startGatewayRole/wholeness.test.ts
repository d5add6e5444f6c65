/** Malformed and ambiguous HTTP requests (request smuggling) and message framing, sent to a gateway over real sockets. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import type * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOST = '127.0.0.1'

interface OpenedGateway {
  readonly address: types.Address
  readonly engine: testing.EngineStandIn
}

async function openGateway (context: nodeTest.TestContext): Promise<OpenedGateway> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'i-1' }, 'api')
  const address = await fleet.startGateway(HOST)
  await fleetTesting.waitUntilServed(address, '/read/probe')
  return { address, engine }
}

/** Sends text and returns all that is received until the gateway closes the connection. */
async function sendRaw (address: types.Address, text: string): Promise<string> {
  return await new Promise((resolve) => {
    let received = ''
    const socket = net.connect(address.port, address.host, () => { socket.write(text) })
    socket.on('data', (bytes) => { received += bytes.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => { resolve(received) })
  })
}

function formatHead (lines: readonly string[]): string {
  return [...lines, `Authorization: Bearer ${fleetTesting.API_KEY}`, 'Deadline-Remaining: 1500', '', ''].join('\r\n')
}

function countArrivals (engine: testing.EngineStandIn, text: string): number {
  return engine.arrivals.filter((arrival) => arrival.requestId.startsWith(text)).length
}

const SMUGGLED = 'GET /read/smuggled HTTP/1.1\r\nHost: app.example\r\nRequest-Id: smuggled\r\n\r\n'

const REFUSED_HEADS: ReadonlyArray<{ readonly name: string, readonly head: readonly string[], readonly body: string }> = [
  { name: 'both a length and a chunked body', head: ['Content-Length: 5', 'Transfer-Encoding: chunked'], body: `0\r\n\r\n${SMUGGLED}` },
  { name: 'two lengths that differ', head: ['Content-Length: 0', `Content-Length: ${SMUGGLED.length}`], body: SMUGGLED },
  { name: 'a coding that is not chunked', head: ['Transfer-Encoding: xchunked'], body: SMUGGLED },
  { name: 'a length that is not a number', head: ['Content-Length: +5'], body: 'abcde' },
  { name: 'an invalid chunk size', head: ['Transfer-Encoding: chunked'], body: `zz\r\n${SMUGGLED}` }
]

for (const { name, head, body } of REFUSED_HEADS) {
  nodeTest.test(`a request with ${name} is refused, and nothing within it reaches an engine`, async (context) => {
    const { address, engine } = await openGateway(context)
    const received = await sendRaw(address, formatHead(['POST /write/1 HTTP/1.1', 'Host: app.example', 'Request-Id: outer', ...head]) + body)
    assert.match(received, /^HTTP\/1\.1 400 /)
    assert.equal(received.match(/HTTP\/1\.1/g)?.length, 1)
    assert.equal(countArrivals(engine, 'outer'), 0)
    assert.equal(countArrivals(engine, 'smuggled'), 0)
  })
}

nodeTest.test('a request whose header exceeds the limit is answered 431', async (context) => {
  const { address, engine } = await openGateway(context)
  const received = await sendRaw(address, formatHead(['GET /read/1 HTTP/1.1', 'Host: app.example', 'Request-Id: large', `X-Large: ${'x'.repeat(20_000)}`]))
  assert.match(received, /^HTTP\/1\.1 431 /)
  assert.equal(countArrivals(engine, 'large'), 0)
})

nodeTest.test('a chunked body reaches the engine completely, once and with a content length', async (context) => {
  const { address, engine } = await openGateway(context)
  const head = formatHead(['POST /write/1 HTTP/1.1', 'Host: app.example', 'Request-Id: chunked', 'Connection: close', 'Transfer-Encoding: chunked'])
  const received = await sendRaw(address, `${head}3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n`)
  assert.match(received, /^HTTP\/1\.1 200 /)
  const [arrival] = engine.arrivals.filter(({ requestId }) => requestId === 'chunked')
  assert.equal(arrival?.body, 'abcdefg')
  assert.equal(arrival?.headers['content-length'], '7')
  assert.equal(arrival?.headers['transfer-encoding'], undefined)
})

nodeTest.test('two pipelined requests get their own responses, in order', async (context) => {
  const { address, engine } = await openGateway(context)
  const first = formatHead(['GET /read/1 HTTP/1.1', 'Host: app.example', 'Request-Id: first'])
  const second = formatHead(['GET /read/2 HTTP/1.1', 'Host: app.example', 'Request-Id: second', 'Connection: close'])
  const received = await sendRaw(address, first + second)
  assert.ok(received.indexOf('to first') > 0)
  assert.ok(received.indexOf('to second') > received.indexOf('to first'))
  assert.equal(countArrivals(engine, 'first') + countArrivals(engine, 'second'), 2)
})

nodeTest.test('a request whose body is cut off reaches no engine', async (context) => {
  const { address, engine } = await openGateway(context)
  const head = formatHead(['POST /write/1 HTTP/1.1', 'Host: app.example', 'Request-Id: cut', 'Content-Length: 100'])
  await new Promise<void>((resolve) => {
    const socket = net.connect(address.port, address.host, () => { socket.write(`${head}abc`, () => { socket.destroy() }) })
    socket.on('close', () => { resolve() })
  })
  await fleetTesting.waitUntilServed(address, '/read/after')
  assert.equal(countArrivals(engine, 'cut'), 0)
})
