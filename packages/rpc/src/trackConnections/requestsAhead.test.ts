/** Guards against a process that runs out of memory because a peer sends requests ahead over one connection, each of which is parsed and kept until those before it are answered. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as handleInTurn from '../handleInTurn/index.js'
import * as trackConnections from './index.js'

const HOST = types.LOOPBACK_HOST
const POLL_MS = 10
const SETTLE_MS = 300
const WAIT_MS = 10_000
const LIMIT = { timeout: 2 * WAIT_MS }
/** More than one read of a socket brings. */
const SENT_REQUESTS = 10_000
/** One part for the parser, and what may be open before it. */
const MAXIMUM_PARSED = 64
/** Parts of a body of 4 MiB, of 4 KiB on average. */
const MAXIMUM_BODY_PARTS = 1024
/** Less than one read of a socket may bring. */
const MAXIMUM_DISCARDED_IN_TURN = 16 * 1024

interface OpenedServer {
  readonly server: http.Server
  readonly tracker: trackConnections.ConnectionTracker
  readonly connect: () => net.Socket
}

async function openServer (context: nodeTest.TestContext, handle: http.RequestListener, options: http.ServerOptions = {}): Promise<OpenedServer> {
  const server = http.createServer({ requestTimeout: 0, connectionsCheckingInterval: POLL_MS, ...options })
  const tracker = trackConnections.trackConnections(server, handle)
  context.after(tracker.abort)
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  const { port } = server.address() as net.AddressInfo
  return {
    server,
    tracker,
    connect: () => {
      const socket = net.connect(port, HOST)
      socket.on('error', () => {})
      context.after(() => { socket.destroy() })
      return socket
    }
  }
}

function formatRequest (path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost:\r\n\r\n`
}

function formatRequests (count: number): string {
  return Array.from({ length: count }, (_, number) => formatRequest(`/${number}`)).join('')
}

/** Collects what arrives at a peer; resolves with it once it contains a text. */
function collect (socket: net.Socket): (text: string) => Promise<string> {
  let received = ''
  socket.on('data', (bytes: Buffer) => { received += bytes.toString('latin1') })
  return async (text) => {
    await waitUntil(() => received.includes(text), () => `no "${text}" in ${received.length} bytes`)
    return received
  }
}

async function waitUntil (isDone: () => boolean, describe: () => string): Promise<void> {
  const deadline = performance.now() + WAIT_MS
  while (!isDone()) {
    assert.ok(performance.now() < deadline, describe())
    await types.delay(POLL_MS)
  }
}

/** Counts the requests that Node.js has parsed, whether they are handled or not. */
function countParsed (): { ServerResponse: typeof http.ServerResponse, read: () => number } {
  let parsed = 0
  class CountedResponse extends http.ServerResponse {
    constructor (request: http.IncomingMessage, options?: object) {
      super(request, ...(options === undefined ? [] : [options]) as [])
      parsed += 1
    }
  }
  return { ServerResponse: CountedResponse as typeof http.ServerResponse, read: () => parsed }
}

nodeTest.test('requests sent ahead of an answer are parsed up to a bound only, and all are answered in order later', LIMIT, async (context) => {
  const parsed = countParsed()
  let endFirst: () => void = () => {}
  const { connect } = await openServer(context, (request, response) => {
    if (request.url === '/0') endFirst = () => { response.end('(/0)') }
    else response.end(`(${request.url ?? ''})`)
  }, { ServerResponse: parsed.ServerResponse })
  const socket = connect()
  const waitForText = collect(socket)
  socket.write(formatRequests(SENT_REQUESTS))
  await types.delay(SETTLE_MS)
  assert.ok(parsed.read() > 1 && parsed.read() <= MAXIMUM_PARSED, `${parsed.read()} parsed`)
  endFirst()
  const text = await waitForText(`(/${SENT_REQUESTS - 1})`)
  assert.deepEqual([...text.matchAll(/\((\/\d+)\)/g)].map(([, path]) => path), Array.from({ length: SENT_REQUESTS }, (_, number) => `/${number}`))
})

nodeTest.test('chunks of one byte in bodies sent ahead of an answer are parsed up to a bound only', LIMIT, async (context) => {
  const bodies: http.IncomingMessage[] = []
  const { connect } = await openServer(context, (request) => { bodies.push(request) })
  const chunked = `POST / HTTP/1.1\r\nHost:\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(15_000)}0\r\n\r\n`
  connect().write(formatRequest('/') + chunked.repeat(10))
  await types.delay(SETTLE_MS)
  const buffered = bodies.reduce((sum, { readableLength }) => sum + readableLength, 0)
  assert.ok(buffered > 0 && buffered <= 4096, `${buffered} chunks`)
})

nodeTest.test('requests that follow an answer that closes their connection are not parsed', LIMIT, async (context) => {
  const parsed = countParsed()
  const { tracker, connect } = await openServer(context, (_request, response) => {
    response.shouldKeepAlive = false
    response.end('closed')
  }, { ServerResponse: parsed.ServerResponse })
  const socket = connect()
  socket.allowHalfOpen = true
  const waitForText = collect(socket)
  socket.write(formatRequest('/'))
  await waitForText('closed')
  await waitUntil(() => tracker.count().closing === 1, () => 'the connection is not closing')
  socket.write(formatRequests(SENT_REQUESTS))
  await waitUntil(() => tracker.count().closing === 0, () => 'the connection is not closed')
  assert.equal(parsed.read(), 1)
})

nodeTest.test('a peer that goes while requests that it sent ahead wait is noticed once answers are sent', LIMIT, async (context) => {
  let endFirst: () => void = () => {}
  let open = 0
  let handled = 0
  const { tracker, connect } = await openServer(context, (request, response) => {
    open += 1
    response.once('close', () => { open -= 1 })
    handleInTurn.handleInTurn(response, () => {
      handled += 1
      if (request.url === '/0') endFirst = () => { response.end() }
      else setTimeout(() => { response.end() }, SETTLE_MS)
    })
  })
  const socket = connect()
  socket.write(formatRequests(SENT_REQUESTS))
  await waitUntil(() => open > 1, () => 'no request waits')
  await types.delay(SETTLE_MS)
  socket.destroy()
  await types.delay(SETTLE_MS)
  endFirst()
  await waitUntil(() => open === 0 && Object.values(tracker.count()).every((count) => count === 0), () => `${open} requests, ${JSON.stringify(tracker.count())}`)
  assert.ok(handled <= 3, `${handled} handled`)
})

nodeTest.test('a request whose head has begun to arrive behind others is not refused as late while they are answered', LIMIT, async (context) => {
  const headersTimeout = 2 * SETTLE_MS
  let endFirst: () => void = () => {}
  const { connect } = await openServer(context, (request, response) => {
    if (request.url === '/0') endFirst = () => { response.end('(/0)') }
    else response.end(`(${request.url ?? ''})`)
  }, { headersTimeout })
  const socket = connect()
  const waitForText = collect(socket)
  socket.write(formatRequests(SENT_REQUESTS))
  await types.delay(2 * headersTimeout)
  endFirst()
  assert.doesNotMatch(await waitForText(`(/${SENT_REQUESTS - 1})`), / 408 /)
})

nodeTest.test('a server that drains answers the request in progress and closes the connection over which others were sent ahead', LIMIT, async (context) => {
  let endFirst: () => void = () => {}
  const paths: string[] = []
  const { tracker, connect } = await openServer(context, (request, response) => {
    paths.push(request.url ?? '')
    if (request.url === '/0') endFirst = () => { response.end('(/0)') }
  })
  const socket = connect()
  const waitForText = collect(socket)
  socket.write(formatRequests(SENT_REQUESTS))
  await waitUntil(() => paths.length > 1, () => 'no request waits')
  const drained = tracker.drain()
  await types.delay(SETTLE_MS)
  endFirst()
  assert.match(await waitForText('(/0)'), /Connection: close/)
  await drained
  assert.ok(paths.length <= MAXIMUM_PARSED, `${paths.length} handled`)
})

nodeTest.test('a large body is read while its reader pauses and goes on', LIMIT, async (context) => {
  const body = Buffer.alloc(4 * types.BYTES_IN_MEBIBYTE, 'x')
  const { connect } = await openServer(context, (request, response) => {
    let bytes = 0
    request.on('data', (part: Buffer) => {
      bytes += part.length
      request.pause()
      setImmediate(() => { request.resume() })
    })
    request.on('end', () => { response.end(`(${bytes})`) })
  })
  const socket = connect()
  const waitForText = collect(socket)
  socket.write(`POST / HTTP/1.1\r\nHost:\r\nContent-Length: ${body.length}\r\n\r\n`)
  socket.write(body)
  socket.write(formatRequest('/'))
  assert.match(await waitForText('(0)'), new RegExp(`\\(${body.length}\\)`))
})

nodeTest.test('what follows a body of stated length is parsed up to a bound only, though the body comes in large parts', LIMIT, async (context) => {
  const parsed = countParsed()
  const body = Buffer.alloc(4 * types.BYTES_IN_MEBIBYTE, 'x')
  let parts = 0
  let bytes = 0
  const { connect } = await openServer(context, (request) => {
    request.on('data', (part: Buffer) => {
      parts += 1
      bytes += part.length
    })
  }, { ServerResponse: parsed.ServerResponse })
  const socket = connect()
  socket.write(`POST / HTTP/1.1\r\nHost:\r\nContent-Length: ${body.length}\r\n\r\n`)
  socket.write(body)
  socket.write(formatRequests(SENT_REQUESTS))
  await waitUntil(() => parsed.read() > 1, () => 'no request follows')
  await types.delay(SETTLE_MS)
  assert.equal(bytes, body.length)
  assert.ok(parts <= MAXIMUM_BODY_PARTS, `${parts} parts`)
  assert.ok(parsed.read() <= MAXIMUM_PARSED, `${parsed.read()} parsed`)
})

nodeTest.test('the chunks of a request that was answered are discarded in turn with the work of other peers', LIMIT, async (context) => {
  let bytesInTurn = 0
  let mostBytes = 0
  let isAnswered = false
  let answers = 0
  const { server, connect } = await openServer(context, (_request, response) => {
    answers += 1
    response.once('close', () => { setImmediate(() => { isAnswered = true }) })
    response.end('(answered)')
  })
  server.on('connection', (accepted: net.Socket) => {
    accepted.on('data', (part: Buffer) => {
      if (!isAnswered) return
      if (bytesInTurn === 0) setImmediate(() => { bytesInTurn = 0 })
      bytesInTurn += part.length
      mostBytes = Math.max(mostBytes, bytesInTurn)
    })
  })
  const socket = connect()
  const waitForText = collect(socket)
  socket.write('POST / HTTP/1.1\r\nHost:\r\nTransfer-Encoding: chunked\r\n\r\n')
  await waitForText('(answered)')
  socket.write(`${'1\r\nx\r\n'.repeat(200_000)}0\r\n\r\n${formatRequest('/')}`)
  await waitUntil(() => answers >= 2, () => `${answers} answers`)
  assert.ok(mostBytes > 0 && mostBytes <= MAXIMUM_DISCARDED_IN_TURN, `${mostBytes} bytes in a turn`)
})

nodeTest.test('a peer that sends more ahead than is parsed is reported once with its address, and one that sends a few is not', LIMIT, async (context) => {
  const reports: trackConnections.HeldBack[] = []
  const responses: http.ServerResponse[] = []
  const server = http.createServer({ requestTimeout: 0 })
  const tracker = trackConnections.trackConnections(server, (_request, response) => { responses.push(response) }, () => {}, (held) => { reports.push(held) })
  context.after(tracker.abort)
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  const { port } = server.address() as net.AddressInfo
  const [few, many] = [net.connect(port, HOST), net.connect(port, HOST)]
  for (const socket of [few, many]) context.after(() => { socket.destroy() })
  few.write(formatRequests(8))
  many.write(formatRequests(SENT_REQUESTS))
  await waitUntil(() => reports.length > 0 && responses.length >= 8, () => `${reports.length} reports, ${responses.length} requests`)
  await types.delay(SETTLE_MS)
  assert.deepEqual(reports.map(({ peer }) => peer), [`${HOST}:${many.localPort ?? 0}`])
  assert.ok((reports[0]?.requests ?? 0) >= trackConnections.MAXIMUM_OPEN_REQUESTS)
})
