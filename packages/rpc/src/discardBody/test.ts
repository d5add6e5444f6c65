/** Guards against a server that goes on reading the body of a request that it has refused, and against refusals that are lost because their connection is reset. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as trackConnections from '../trackConnections/index.js'
import * as discardBody from './index.js'

const LIMIT = { timeout: 20_000 }
const MAXIMUM_BYTES = discardBody.MAXIMUM_REFUSED_BODY_BYTES
const SETTLE_MS = 200
const NEXT_REQUEST = 'GET /next HTTP/1.1\r\nHost:\r\nConnection: close\r\n\r\n'

interface Exchange {
  readonly text: string
  /** Bytes of bodies that reached the requests. */
  readonly bodyBytes: number
}

/** Sends text to a server that refuses each request by its head, and reads what it answers until the connection ends. */
async function exchange (context: nodeTest.TestContext, parts: readonly string[]): Promise<Exchange> {
  let bodyBytes = 0
  const server = http.createServer()
  const tracker = trackConnections.trackConnections(server, (request, response) => {
    discardBody.discardBody(request, response)
    request.on('data', (part: Buffer) => { bodyBytes += part.length })
    response.end(`refused ${request.url ?? ''}`)
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const socket = net.connect((server.address() as net.AddressInfo).port, types.LOOPBACK_HOST)
  context.after(() => {
    socket.destroy()
    tracker.abort()
  })
  let text = ''
  let hasEnded = false
  socket.on('data', (bytes: Buffer) => { text += bytes.toString('latin1') })
  socket.on('error', (error) => { text += `error ${error.message}` })
  const ended = new Promise<void>((resolve) => {
    socket.once('close', () => {
      hasEnded = true
      resolve()
    })
  })
  for (const part of parts) {
    socket.write(part)
    await types.delay(SETTLE_MS)
    if (hasEnded) break
  }
  await ended
  return { text, bodyBytes }
}

function formatPost (headers: string): string {
  return `POST /first HTTP/1.1\r\nHost:\r\n${headers}\r\n`
}

function formatChunks (count: number): string {
  return '1\r\nx\r\n'.repeat(count)
}

nodeTest.test('the connection of a refused request is used on if its body ends within the bound', LIMIT, async (context) => {
  const withLength = await exchange(context, [formatPost('Content-Length: 1000\r\n'), 'x'.repeat(1000), NEXT_REQUEST])
  const chunked = await exchange(context, [formatPost('Transfer-Encoding: chunked\r\n'), `${formatChunks(1000)}0\r\n\r\n`, NEXT_REQUEST])
  for (const { text } of [withLength, chunked]) assert.match(text, /refused \/first[^]*refused \/next$/)
})

nodeTest.test('a refused request that states a longer body gets its answer before the body is sent, and its connection is closed', LIMIT, async (context) => {
  const { text, bodyBytes } = await exchange(context, [formatPost('Content-Length: 4000000\r\n'), 'x'.repeat(1_000_000), NEXT_REQUEST])
  assert.match(text, /Connection: close[^]*refused \/first$/)
  assert.ok(bodyBytes <= MAXIMUM_BYTES, `${bodyBytes} bytes`)
})

nodeTest.test('the connection of a refused request is closed once its chunks exceed the bound', LIMIT, async (context) => {
  const { text, bodyBytes } = await exchange(context, [formatPost('Transfer-Encoding: chunked\r\n'), formatChunks(100_000), NEXT_REQUEST])
  assert.match(text, /refused \/first$/)
  assert.ok(bodyBytes <= MAXIMUM_BYTES / 2, `${bodyBytes} bytes`)
})
