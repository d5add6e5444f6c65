/** What a draining gateway does with requests that are still arriving, and with those that it has. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import type * as sendAttempt from '../sendAttempt/index.js'
import * as handlerTesting from '../_lib/handlerTesting.js'
import * as createCallerServer from '../createCallerServer/index.js'
import * as createHeldBytes from '../createHeldBytes/index.js'
import * as createCallHandler from './index.js'

const ADDRESS = { host: '127.0.0.32', port: 18_432 }
const BOUNDS = { balancedUntil: 2600, endsAt: 7550 }
const SHORT_MS = 2000
const LONG_MS = 60_000
/** More than the kernel's buffers hold, so that a caller that sends it all needs a peer that reads. */
const UPLOAD_BYTES = 16_000_000
const HALF = 0.5
const SMALL_UPLOAD_BYTES = 20_000
const STALLED_MS = 6000
const EXPECTATION = 'Expect: 100-continue\r\n'
const GET = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
const WAIT = { timeout: 20_000 }

interface Fixture {
  readonly handler: createCallHandler.CallHandler
  /** Advances the clock and runs what is due. */
  readonly advanceTo: (time: number) => void
  readonly attempts: () => number
  /** Bytes held for callers. */
  readonly heldBytes: () => number
  /** Milliseconds that each attempt had left when it was sent. */
  readonly remaining: readonly number[]
  /** Ends the first attempt without an answer. */
  readonly breakAttempt: () => void
}

interface Caller {
  readonly socket: net.Socket
  /** Waits until the caller has received a text. */
  readonly receive: (text: string) => Promise<string>
  readonly error: () => Error | null
}

/** Starts a gateway whose back end answers nothing. */
async function startGateway (context: nodeTest.TestContext, timeoutMs: number, kind: 'stream' | 'repeatable' = 'stream', maximumHeldBytes = Infinity): Promise<Fixture> {
  let time = 0
  const attempts: Array<(start: sendAttempt.AttemptStart) => void> = []
  let scheduled: Array<{ readonly at: number, readonly action: () => void }> = []
  const remaining: number[] = []
  const heldBytes = createHeldBytes.createHeldBytes({ maximumBytes: maximumHeldBytes, now: () => time })
  const options = handlerTesting.createHandlerOptions({ timeoutMs, kind }, {
    now: () => time,
    heldBytes,
    at: (at, action) => {
      const entry = { at, action }
      scheduled.push(entry)
      return () => { scheduled = scheduled.filter((each) => each !== entry) }
    },
    sendAttempt: () => {
      const start = new Promise<sendAttempt.AttemptStart>((resolve) => { attempts.push(resolve) })
      return { start, abort: () => {} }
    }
  })
  const formatAttempt: typeof options.protocol.formatAttempt = (_head, { remainingMs }) => {
    remaining.push(remainingMs)
    return []
  }
  const handler = createCallHandler.createCallHandler({ ...options, protocol: { ...options.protocol, formatAttempt } })
  const server = createCallerServer.createCallerServer(handler)
  await server.listen(ADDRESS)
  context.after(server.close)
  return {
    handler,
    remaining,
    attempts: () => attempts.length,
    heldBytes: heldBytes.read,
    breakAttempt: () => { attempts[0]?.({ kind: 'no-answer', reason: 'closed', isClosedByPeer: true }) },
    advanceTo: (to) => {
      time = to
      for (const { action } of scheduled.filter(({ at }) => at <= to)) action()
      scheduled = scheduled.filter(({ at }) => at > to)
    }
  }
}

/** Opens a connection and sends the head of an upload. */
function openUpload (context: nodeTest.TestContext, header = ''): Caller {
  return openCaller(context, `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${UPLOAD_BYTES}\r\n${header}\r\n`)
}

/** Opens a connection and sends a text. */
function openCaller (context: nodeTest.TestContext, text: string): Caller {
  const socket = net.connect(ADDRESS)
  let received = ''
  let error: Error | null = null
  socket.on('data', (bytes: Buffer) => { received += bytes.toString() })
  socket.on('error', (thrown) => { error = thrown })
  context.after(() => { socket.destroy() })
  socket.write(text)
  return {
    socket,
    error: () => error,
    receive: async (text) => {
      while (!received.includes(text)) {
        await new Promise<void>((resolve) => {
          socket.once('data', () => { resolve() })
          socket.once('close', () => { resolve() })
        })
        if (socket.destroyed) break
      }
      return received
    }
  }
}

async function send (socket: net.Socket, bytes: number): Promise<void> {
  await new Promise<void>((resolve) => { socket.write(Buffer.alloc(bytes), () => { resolve() }) })
}

/** Sends half of an upload and waits until the handler has its call. */
async function sendHalf ({ socket }: Caller, { handler }: Fixture): Promise<void> {
  await send(socket, UPLOAD_BYTES * HALF)
  assert.equal(handler.register.count(), 1)
}

async function waitForAttempts ({ attempts }: Fixture, count: number): Promise<void> {
  while (attempts() < count) await new Promise((resolve) => { setImmediate(resolve) })
}

function assertRefused (answer: string): void {
  assert.match(answer, /^HTTP\/1.1 503 [^]*\r\nConnection: close\r\n[^]*this gateway ends\n$/)
}

nodeTest.test('an upload that may outlast the drain is refused before it is whole, when the drain begins or it arrives later', WAIT, async (context) => {
  const fixture = await startGateway(context, LONG_MS)
  const early = openUpload(context)
  await sendHalf(early, fixture)
  fixture.handler.drain(BOUNDS)
  assertRefused(await early.receive('ends\n'))
  assertRefused(await openUpload(context).receive('ends\n'))
})

nodeTest.test('a caller that reads nothing until its refused upload is sent gets the answer of a draining gateway', WAIT, async (context) => {
  const fixture = await startGateway(context, LONG_MS)
  fixture.handler.drain(BOUNDS)
  const caller = openUpload(context)
  caller.socket.pause()
  await send(caller.socket, UPLOAD_BYTES)
  caller.socket.resume()
  assertRefused(await caller.receive('ends\n'))
  assert.equal(caller.error(), null)
})

nodeTest.test('an upload that is not whole when the grace period ends is refused, and not closed without an answer', WAIT, async (context) => {
  const fixture = await startGateway(context, SHORT_MS)
  const caller = openUpload(context)
  await sendHalf(caller, fixture)
  fixture.handler.drain(BOUNDS)
  fixture.advanceTo(BOUNDS.endsAt)
  fixture.handler.endAll()
  assert.deepEqual(fixture.handler.register.totals(), { refused: 1 })
  assertRefused(await caller.receive('ends\n'))
  assert.equal(fixture.attempts(), 0)
})

nodeTest.test('a draining gateway refuses an upload that waits for permission to begin, and does not ask for it first', WAIT, async (context) => {
  const fixture = await startGateway(context, LONG_MS)
  assert.match(await openUpload(context, EXPECTATION).receive('\r\n\r\n'), /^HTTP\/1.1 100 Continue\r\n/)
  fixture.handler.drain(BOUNDS)
  assertRefused(await openUpload(context, EXPECTATION).receive('ends\n'))
})

nodeTest.test('a caller of HTTP/1.0 gets no permission to send its body, which it does not know', WAIT, async (context) => {
  const fixture = await startGateway(context, LONG_MS)
  const caller = openCaller(context, GET.replace('HTTP/1.1', 'HTTP/1.0').replace('\r\n', `\r\n${EXPECTATION}`))
  await waitForAttempts(fixture, 1)
  fixture.breakAttempt()
  assert.match(await caller.receive('closed\n'), /^HTTP\/1.1 502 /)
})

nodeTest.test('a call whose back end breaks off during a drain is not sent to another one that may not answer in time', WAIT, async (context) => {
  const fixture = await startGateway(context, LONG_MS, 'repeatable')
  const caller = openCaller(context, GET)
  await waitForAttempts(fixture, 1)
  fixture.handler.drain(BOUNDS)
  fixture.breakAttempt()
  assert.match(await caller.receive('ends\n'), /^HTTP\/1.1 502 /)
  assert.equal(fixture.attempts(), 1)
})

nodeTest.test('a request is not sent to a back end while the answer before it on its connection may close that', WAIT, async (context) => {
  const fixture = await startGateway(context, SHORT_MS)
  const caller = openCaller(context, GET + GET)
  await waitForAttempts(fixture, 1)
  fixture.handler.drain(BOUNDS)
  fixture.breakAttempt()
  await new Promise((resolve) => { caller.socket.once('close', resolve) })
  assert.equal(fixture.attempts(), 1)
  assert.equal(fixture.handler.register.count(), 0)
})

nodeTest.test('requests that a caller sends at once are served one after the other', WAIT, async (context) => {
  const fixture = await startGateway(context, SHORT_MS)
  openCaller(context, GET + GET)
  await waitForAttempts(fixture, 1)
  fixture.breakAttempt()
  await waitForAttempts(fixture, 2)
})

nodeTest.test('a request that waits for the answer before it on its connection has no more time than from its arrival on', WAIT, async (context) => {
  const fixture = await startGateway(context, SHORT_MS)
  openCaller(context, GET + GET)
  await waitForAttempts(fixture, 1)
  fixture.advanceTo(SHORT_MS * HALF)
  fixture.breakAttempt()
  await waitForAttempts(fixture, 2)
  assert.deepEqual(fixture.remaining, [SHORT_MS, SHORT_MS * HALF])
})

/** Guards against a call that runs although its caller was told that it has not, since the rest of its body arrived before the connection was closed. */
for (const header of ['', 'Connection: close\r\n']) {
  nodeTest.test(`a paused upload that is answered 408 while memory is short is never sent, though its rest arrives (${header.trim()})`, WAIT, async (context) => {
    const gateway = await startGateway(context, LONG_MS, 'stream', SMALL_UPLOAD_BYTES)
    const paused = openCaller(context, `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${SMALL_UPLOAD_BYTES}\r\n${header}\r\n`)
    await send(paused.socket, SMALL_UPLOAD_BYTES - 1)
    while (gateway.heldBytes() < SMALL_UPLOAD_BYTES - 1) await new Promise(setImmediate)
    gateway.advanceTo(STALLED_MS)
    const other = openCaller(context, `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${SMALL_UPLOAD_BYTES}\r\n\r\n`)
    await send(other.socket, SMALL_UPLOAD_BYTES)
    assert.match(await paused.receive('\r\n\r\n'), /^HTTP\/1\.1 408 /)
    paused.socket.write('x')
    while (gateway.attempts() === 0) await new Promise(setImmediate)
    await new Promise<void>((resolve) => { paused.socket.once('close', () => { resolve() }).resume() })
    assert.equal(gateway.attempts(), 1, 'only the other call was sent')
  })
}
