/** What a draining gateway does with requests that are still arriving. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as handlerTesting from '../_lib/handlerTesting.js'
import * as createCallerServer from '../createCallerServer/index.js'
import * as createCallHandler from './index.js'

const ADDRESS = { host: '127.0.0.32', port: 18_432 }
const BOUNDS = { balancedUntil: 2600, endsAt: 7550 }
const SHORT_MS = 2000
const LONG_MS = 60_000
/** More than the kernel's buffers hold, so that a caller that sends it all needs a peer that reads. */
const UPLOAD_BYTES = 16_000_000
const HALF = 0.5
const WAIT = { timeout: 20_000 }

interface Fixture {
  readonly handler: createCallHandler.CallHandler
  /** Advances the clock and runs what is due. */
  readonly advanceTo: (time: number) => void
  readonly attempts: () => number
}

interface Caller {
  readonly socket: net.Socket
  /** Waits until the caller has received a text. */
  readonly receive: (text: string) => Promise<string>
  readonly error: () => Error | null
}

/** Starts a gateway whose back end never answers. */
async function startGateway (context: nodeTest.TestContext, timeoutMs: number): Promise<Fixture> {
  let time = 0
  let attempts = 0
  let scheduled: Array<{ readonly at: number, readonly action: () => void }> = []
  const handler = createCallHandler.createCallHandler(handlerTesting.createHandlerOptions({ timeoutMs }, {
    now: () => time,
    at: (at, action) => {
      const entry = { at, action }
      scheduled.push(entry)
      return () => { scheduled = scheduled.filter((each) => each !== entry) }
    },
    sendAttempt: () => {
      attempts += 1
      return { start: new Promise(() => {}), abort: () => {} }
    }
  }))
  const server = await createCallerServer.createCallerServer(handler, ADDRESS)
  context.after(server.close)
  return {
    handler,
    attempts: () => attempts,
    advanceTo: (to) => {
      time = to
      for (const { action } of scheduled.filter(({ at }) => at <= to)) action()
      scheduled = scheduled.filter(({ at }) => at > to)
    }
  }
}

/** Opens a connection and sends the head of an upload. */
function openUpload (context: nodeTest.TestContext, header = ''): Caller {
  const socket = net.connect(ADDRESS)
  let received = ''
  let error: Error | null = null
  socket.on('data', (bytes: Buffer) => { received += bytes.toString() })
  socket.on('error', (thrown) => { error = thrown })
  context.after(() => { socket.destroy() })
  socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${UPLOAD_BYTES}\r\n${header}\r\n`)
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
