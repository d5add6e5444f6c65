/** Guards against answers and requests that are cut because a server ends their connections at a moment of its own choice. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as timers from 'node:timers/promises'
import * as types from '@switchridge/types'
import * as trackConnections from './index.js'

const HOST = types.LOOPBACK_HOST
const HEADERS_TIMEOUT_MS = 300
const POLL_MS = 10
const IDLE_MS = 100
/** Node.js closes an idle connection a second later than told. */
const IDLE_CLOSED_MS = IDLE_MS + 1000
/** Longer than the idle limit and the limit for a request head. */
const STALL_MS = IDLE_CLOSED_MS + 300
const WAIT_MS = 10_000
const LIMIT = { timeout: 2 * WAIT_MS }
/** More than the kernel's buffers take for a peer that doesn't read. */
const BIG_BYTES = 16_000_000
/** The kernel's buffers take all of it, a peer's alone may not. */
const HELD_BYTES = 500_000

interface OpenedServer {
  readonly tracker: trackConnections.ConnectionTracker
  /** Opens a connection and sends text over it. */
  readonly connect: (text: string) => Peer
  readonly waitForPhase: (phase: trackConnections.ConnectionPhase) => Promise<void>
}

interface Peer {
  readonly socket: net.Socket
  /** What has arrived by the end of the connection; null if it was reset. */
  readonly received: Promise<string | null>
}

async function openServer (context: nodeTest.TestContext, handle: http.RequestListener, options: http.ServerOptions = {}, onIdleClose?: (close: trackConnections.IdleClose) => void): Promise<OpenedServer> {
  const server = http.createServer({ connectionsCheckingInterval: POLL_MS, headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: 0, ...options })
  const tracker = trackConnections.trackConnections(server, handle, onIdleClose)
  context.after(tracker.abort)
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  const { port } = server.address() as net.AddressInfo
  return {
    tracker,
    connect: (text) => {
      const socket = net.connect(port, HOST)
      socket.write(text)
      return { socket, received: receive(socket) }
    },
    waitForPhase: async (phase) => {
      const deadline = performance.now() + WAIT_MS
      while (tracker.count()[phase] === 0) {
        assert.ok(performance.now() < deadline, `no connection is ${phase}`)
        await types.delay(POLL_MS)
      }
    }
  }
}

async function receive (socket: net.Socket): Promise<string | null> {
  const parts: Buffer[] = []
  return await new Promise((resolve) => {
    socket.on('data', (bytes: Buffer) => { parts.push(bytes) })
    socket.on('end', () => { resolve(Buffer.concat(parts).toString('latin1')) })
    socket.on('error', () => { resolve(null) })
  })
}

function formatRequest (path: string, headers = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: server\r\n${headers}\r\n`
}

/** Sends text and keeps the process from reading it for so long. Expired timers run before sockets are read then, as they do after a pause of the process. */
async function sendBeforeStall ({ socket }: Peer, text: string, stallMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(() => {
      socket.write(text)
      const endsAt = performance.now() + stallMs
      while (performance.now() < endsAt);
      resolve()
    })
  })
}

async function waitForText ({ socket }: Peer, pattern: RegExp): Promise<void> {
  let text = ''
  await new Promise<void>((resolve) => {
    socket.on('data', function append (bytes: Buffer) {
      text += bytes.toString()
      if (!pattern.test(text)) return
      socket.off('data', append)
      resolve()
    })
  })
}

nodeTest.test('a server that drains delivers a response that its peer has not read yet', LIMIT, async (context) => {
  const { tracker, connect, waitForPhase } = await openServer(context, (_request, response) => { response.end(Buffer.alloc(BIG_BYTES)) })
  const { socket, received } = connect(formatRequest('/'))
  socket.pause()
  await waitForPhase('delivering')
  const drained = tracker.drain()
  await types.delay(2 * trackConnections.IDLE_CLOSE_MS)
  assert.equal(tracker.count().delivering, 1)
  socket.resume()
  assert.ok((await received ?? '').length > BIG_BYTES)
  await drained
})

nodeTest.test('a server that drains answers a request whose head had begun to arrive', LIMIT, async (context) => {
  const { tracker, connect, waitForPhase } = await openServer(context, (_request, response) => { response.end('whole') })
  const { socket, received } = connect('GET / HTTP/1.1\r\nHo')
  await waitForPhase('receiving')
  const drained = tracker.drain()
  socket.write('st: server\r\n\r\n')
  assert.match(await received ?? '', /Connection: close\r\n[^]*whole$/)
  await drained
})

nodeTest.test('a server that drains still limits the time for a request head', LIMIT, async (context) => {
  const { tracker, connect, waitForPhase } = await openServer(context, () => { assert.fail('no request is whole') })
  const { received } = connect('GET / HTTP/1.1\r\nHo')
  await waitForPhase('receiving')
  const drained = tracker.drain()
  assert.match(await received ?? '', /^HTTP\/1.1 408 /)
  await drained
})

nodeTest.test('a server that drains answers the next request on a connection whose last response promised to keep it', LIMIT, async (context) => {
  let endFirst: () => void = () => {}
  const { tracker, connect, waitForPhase } = await openServer(context, (request, response) => {
    response.write('part ')
    const end = (): void => { response.end(`end of ${request.url ?? ''}`) }
    if (request.url === '/first') endFirst = end
    else end()
  })
  const { socket, received } = connect(formatRequest('/first'))
  let text = ''
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString()
    if (text.endsWith('end of /first\r\n0\r\n\r\n')) socket.write(formatRequest('/next'))
  })
  await waitForPhase('serving')
  const drained = tracker.drain()
  endFirst()
  assert.match(await received ?? '', /end of \/first[^]*Connection: close[^]*end of \/next/)
  await drained
})

nodeTest.test('a response that asks to close reaches a peer that goes on sending before it reads', LIMIT, async (context) => {
  const answered: string[] = []
  const { connect } = await openServer(context, (request, response) => {
    response.writeHead(413, { connection: 'close' })
    response.end('too large')
    answered.push(request.url ?? '')
  })
  const { socket, received } = connect('POST / HTTP/1.1\r\nHost: server\r\nContent-Length: 16000000\r\n\r\n')
  socket.pause()
  while (answered.length === 0) await types.delay(POLL_MS)
  for (let part = 0; part < 10; part += 1) {
    socket.write('part of a body')
    await types.delay(POLL_MS)
  }
  socket.resume()
  assert.match(await received ?? '', / 413 [^]*too large/)
})

nodeTest.test('a request that arrives after its connection was ended is not run', LIMIT, async (context) => {
  const paths: string[] = []
  const { tracker, connect, waitForPhase } = await openServer(context, (request, response) => {
    paths.push(request.url ?? '')
    response.end(`${'x'.repeat(HELD_BYTES)}whole`)
  })
  const { socket, received } = connect(formatRequest('/first'))
  socket.pause()
  await waitForPhase('idle')
  while (paths.length === 0) await types.delay(POLL_MS)
  const drained = tracker.drain()
  await waitForPhase('closing')
  socket.write(formatRequest('/late'))
  await types.delay(POLL_MS)
  socket.resume()
  assert.match(await received ?? '', /xwhole$/)
  await drained
  assert.deepEqual(paths, ['/first'])
})

nodeTest.test('a request that crosses the close of an idle connection by a server that drains is not read', LIMIT, async (context) => {
  const sockets: net.Socket[] = []
  const { tracker, connect, waitForPhase } = await openServer(context, (request, response) => {
    sockets.push(request.socket)
    response.end('whole')
  })
  const peer = connect(formatRequest('/first'))
  await waitForText(peer, /whole$/)
  await waitForPhase('idle')
  peer.socket.allowHalfOpen = true
  const bytesRead = sockets[0]?.bytesRead
  const drained = tracker.drain()
  while (tracker.count().idle > 0) await types.delay(POLL_MS)
  peer.socket.write(formatRequest('/late'))
  await types.delay(5 * POLL_MS)
  assert.equal(sockets[0]?.bytesRead, bytesRead)
  peer.socket.destroy()
  await drained
})

nodeTest.test('idle connections and peers that do not close theirs do not hold up a server that drains', LIMIT, async (context) => {
  const { tracker, connect, waitForPhase } = await openServer(context, (_request, response) => { response.end() })
  const { socket } = connect(formatRequest('/'))
  socket.allowHalfOpen = true
  await waitForPhase('idle')
  await tracker.drain()
  assert.deepEqual(tracker.count(), { idle: 0, receiving: 0, serving: 0, delivering: 0, closing: 0 })
  socket.destroy()
})

nodeTest.test('an empty line after a request does not keep a connection from being closed as idle', LIMIT, async (context) => {
  const sockets: net.Socket[] = []
  const { tracker, connect, waitForPhase } = await openServer(context, (request, response) => {
    sockets.push(request.socket)
    response.end('whole')
  })
  const { socket, received } = connect(formatRequest('/'))
  await new Promise((resolve) => { socket.once('data', resolve) })
  await waitForPhase('idle')
  const bytesRead = sockets[0]?.bytesRead
  socket.write('\r\n')
  while (sockets[0]?.bytesRead === bytesRead) await types.delay(POLL_MS)
  assert.equal(tracker.count().idle, 1)
  await tracker.drain()
  assert.match(await received ?? '', /whole$/)
})

nodeTest.test('a pipelined request whose connection breaks off before its turn is ended', LIMIT, async (context) => {
  const open = new Set<string>()
  const { connect } = await openServer(context, (request, response) => {
    const path = request.url ?? ''
    open.add(path)
    response.once('close', () => { open.delete(path) })
  })
  const { socket } = connect(formatRequest('/first') + formatRequest('/second'))
  while (open.size < 2) await types.delay(POLL_MS)
  socket.resetAndDestroy()
  const deadline = performance.now() + WAIT_MS
  while (open.size > 0) {
    assert.ok(performance.now() < deadline, [...open].join())
    await types.delay(POLL_MS)
  }
})

nodeTest.test('a server that drains answers connections that the system had established before', LIMIT, async (context) => {
  const { tracker, connect } = await openServer(context, (_request, response) => { response.end('whole') })
  const peers = Array.from({ length: 50 }, () => connect(formatRequest('/')))
  const drained = tracker.drain()
  const texts = await Promise.all(peers.map(async ({ received }) => await received))
  assert.deepEqual(texts.filter((text) => text?.endsWith('whole') !== true), [])
  await drained
})

nodeTest.test('peers that go on connecting do not hold up a server that drains', LIMIT, async (context) => {
  const { tracker, connect } = await openServer(context, (_request, response) => { response.end('whole') })
  const drained = tracker.drain()
  let isRefused = false
  while (!isRefused) {
    connect(formatRequest('/')).socket.once('error', () => { isRefused = true })
    await timers.setImmediate()
  }
  await drained
})

/** Opens a kept connection whose first request has been answered. */
async function openIdle (context: nodeTest.TestContext, onIdleClose?: (close: trackConnections.IdleClose) => void): Promise<{ server: OpenedServer, peer: Peer }> {
  const server = await openServer(context, (request, response) => { response.end(`end of ${request.url ?? ''}`) }, { keepAliveTimeout: IDLE_MS, headersTimeout: 2 * IDLE_CLOSED_MS }, onIdleClose)
  const peer = server.connect(formatRequest('/first'))
  await waitForText(peer, /end of \/first$/)
  await server.waitForPhase('idle')
  return { server, peer }
}

nodeTest.test('a request that arrives within the idle limit at a server that stands still until after it is answered', LIMIT, async (context) => {
  const { peer } = await openIdle(context)
  await sendBeforeStall(peer, formatRequest('/next', 'Connection: close\r\n'), STALL_MS)
  assert.match(await peer.received ?? '', /end of \/next$/)
})

nodeTest.test('a request that begins within the idle limit at a server that stands still until after it has its time for the head', LIMIT, async (context) => {
  const { server, peer } = await openIdle(context)
  await sendBeforeStall(peer, 'GET /next HTTP/1.1\r\nHo', STALL_MS)
  await server.waitForPhase('receiving')
  await types.delay(IDLE_CLOSED_MS)
  peer.socket.write('st: server\r\nConnection: close\r\n\r\n')
  assert.match(await peer.received ?? '', /end of \/next$/)
})

nodeTest.test('a connection is closed after the idle limit, also if empty lines arrive', LIMIT, async (context) => {
  const { peer } = await openIdle(context)
  peer.socket.write('\r\n\r\n')
  assert.match(await peer.received ?? '', /end of \/first/)
})

nodeTest.test('a connection that is closed at its idle limit is not reported as late by the second that Node.js adds', LIMIT, async (context) => {
  const closes: trackConnections.IdleClose[] = []
  const { peer } = await openIdle(context, (close) => { closes.push(close) })
  await peer.received
  assert.deepEqual(closes.map(({ lateMs }) => lateMs < IDLE_CLOSED_MS - IDLE_MS), [true], JSON.stringify(closes))
})

nodeTest.test('a head whose rest arrives in time at a server that stands still until after the limit for heads is answered', LIMIT, async (context) => {
  const { connect, waitForPhase } = await openServer(context, (_request, response) => { response.end('whole') })
  const peer = connect('GET / HTTP/1.1\r\nHo')
  await waitForPhase('receiving')
  await sendBeforeStall(peer, 'st: server\r\nConnection: close\r\n\r\n', STALL_MS)
  assert.match(await peer.received ?? '', / 200 [^]*whole$/)
})

nodeTest.test('a request that arrives over a new connection at a server that stands still until after the limit for heads is answered', LIMIT, async (context) => {
  const { connect, waitForPhase } = await openServer(context, (_request, response) => { response.end('whole') })
  const peer = connect('')
  await waitForPhase('idle')
  await sendBeforeStall(peer, formatRequest('/', 'Connection: close\r\n'), STALL_MS)
  assert.match(await peer.received ?? '', / 200 [^]*whole$/)
})

nodeTest.test('a head that begins over a new connection at a server that stands still until after the limit for heads has its time', LIMIT, async (context) => {
  const { connect, waitForPhase } = await openServer(context, (_request, response) => { response.end('whole') })
  const peer = connect('')
  await waitForPhase('idle')
  await sendBeforeStall(peer, 'GET / HTTP/1.1\r\nHo', STALL_MS)
  await waitForPhase('receiving')
  peer.socket.write('st: server\r\nConnection: close\r\n\r\n')
  assert.match(await peer.received ?? '', / 200 [^]*whole$/)
})

for (const [what, text, refusal] of [['late', 'GET /next HTTP/1.1\r\nHo', 408], ['malformed', 'no request\r\n\r\n', 400]] as const) {
  for (const hasBegun of [true, false]) {
    nodeTest.test(`a ${what} head cuts no answer of the request before it, which ${hasBegun ? 'has' : 'has not'} begun, and is refused after it`, LIMIT, async (context) => {
      const { connect, waitForPhase } = await openServer(context, (_request, response) => {
        if (hasBegun) response.write('begin ')
        setTimeout(() => { response.end('end') }, 3 * HEADERS_TIMEOUT_MS)
      })
      const peer = connect(formatRequest('/'))
      await waitForPhase('serving')
      peer.socket.write(text)
      assert.match(await peer.received ?? '', new RegExp(`^HTTP/1.1 200 [^]*end[^]*HTTP/1.1 ${refusal} `))
    })
  }
}

nodeTest.test('a malformed body is refused at once, and the request before it is answered', LIMIT, async (context) => {
  const { connect } = await openServer(context, (request, response) => {
    request.resume().on('end', () => { setTimeout(() => { response.end('end') }, HEADERS_TIMEOUT_MS) }).on('error', () => {})
  })
  const malformed = formatRequest('/malformed', 'Transfer-Encoding: chunked\r\n') + 'no chunk\r\n'
  const texts = await Promise.all([malformed, formatRequest('/whole') + malformed].map(async (text) => await connect(text).received))
  assert.match(texts[0] ?? '', /^HTTP\/1.1 400 /)
  assert.match(texts[1] ?? '', /^HTTP\/1.1 200 [^]*endHTTP\/1.1 400 /)
})

nodeTest.test('a head that begins at a server that stands still and does not go on is refused', LIMIT, async (context) => {
  const { connect, waitForPhase } = await openServer(context, () => { assert.fail('no request is whole') })
  const peer = connect('')
  await waitForPhase('idle')
  await sendBeforeStall(peer, 'GET / HTTP/1.1\r\nHo', STALL_MS)
  assert.match(await peer.received ?? '', /^HTTP\/1.1 408 /)
})

nodeTest.test('a new connection over which only empty lines arrive at a server that stands still is refused', LIMIT, async (context) => {
  const { connect, waitForPhase } = await openServer(context, () => { assert.fail('no request is whole') })
  const peer = connect('')
  await waitForPhase('idle')
  await sendBeforeStall(peer, '\r\n\r\n', STALL_MS)
  assert.match(await peer.received ?? '', /^HTTP\/1.1 408 /)
})

nodeTest.test('each server answers a head that it cannot read with a status and reads on until its peer has the answer', LIMIT, async (context) => {
  const { connect } = await openServer(context, () => { assert.fail('no request is whole') })
  const texts = await Promise.all([`GET / HTTP/1.1\r\nLong: ${'x'.repeat(BIG_BYTES)}\r\n\r\n`, 'no request\r\n\r\n'].map(async (text) => await connect(text).received))
  assert.deepEqual(texts.map((text) => text?.slice(0, 13)), ['HTTP/1.1 431 ', 'HTTP/1.1 400 '])
})

nodeTest.test('a request that arrives at a draining server that stands still until it would close the connection as idle is answered', LIMIT, async (context) => {
  const { server: { tracker }, peer } = await openIdle(context)
  const drained = tracker.drain()
  await types.delay(trackConnections.IDLE_CLOSE_MS / 5)
  await sendBeforeStall(peer, formatRequest('/next'), 2 * trackConnections.IDLE_CLOSE_MS)
  assert.match(await peer.received ?? '', /Connection: close[^]*end of \/next$/)
  await drained
})

nodeTest.test('the requests in progress are counted for the connection with the most of them', LIMIT, async (context) => {
  const responses: http.ServerResponse[] = []
  const { tracker, connect } = await openServer(context, (_request, response) => { responses.push(response) })
  assert.equal(tracker.countMostRequests(), 0)
  const peers = [connect(formatRequest('/1')), connect(formatRequest('/2').repeat(5))]
  context.after(() => { for (const { socket } of peers) socket.destroy() })
  const deadline = performance.now() + WAIT_MS
  while (responses.length < 6) {
    assert.ok(performance.now() < deadline, 'not all requests have arrived')
    await types.delay(POLL_MS)
  }
  assert.equal(tracker.countMostRequests(), 5)
})
