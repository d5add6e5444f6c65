/** Guards against a gateway that ends for want of memory, or serves nobody else, because a body within its bound comes in chunks of one byte. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as handlerTesting from '../_lib/handlerTesting.js'
import * as createAnswerBuffers from '../createAnswerBuffers/index.js'
import * as createCallerServer from '../createCallerServer/index.js'
import * as createHeldBytes from '../createHeldBytes/index.js'
import * as sendAttempt from '../sendAttempt/index.js'
import * as createCallHandler from './index.js'

const ADDRESS = { host: '127.0.0.78', port: 18_478 }
const LIMIT = { timeout: 60_000 }
const BYTES_IN_MEBIBYTE = 1024 * 1024
const MAXIMUM_BODY_BYTES = 4 * BYTES_IN_MEBIBYTE
/** What may be read of a faulty body, and what the buffers of the system take on both sides. */
const MAXIMUM_SENT_BYTES = 8 * BYTES_IN_MEBIBYTE
const ONE_BYTE_CHUNKS = '1\r\nx\r\n'.repeat(10_000)
const TOKEN_CHUNKS = `14\r\n${'x'.repeat(20)}\r\n`.repeat(10_000)
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
const CHUNKED_REQUEST = 'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
const END = '0\r\n\r\n'

interface Fixture {
  readonly heldBytes: createHeldBytes.HeldBytes
  readonly buffers: createAnswerBuffers.AnswerBuffers
  /** Largest sums of bytes that were held and buffered. */
  readonly peaks: { held: number, buffered: number }
  readonly logged: string[]
  readonly engineSentBytes: () => number
}

/** Writes a part over and over, up to a number of times, as fast as the peer reads; returns how many bytes were written so far. */
function writeRepeatedly (socket: net.Socket, part: string, times: number, end: string): () => number {
  let written = 0
  send()
  socket.on('drain', send)
  return () => written * part.length

  function send (): void {
    while (written < times && !socket.destroyed) {
      written += 1
      if (written === times) socket.write(part + end)
      else if (!socket.write(part)) return
    }
  }
}

/** Starts a gateway with an engine that answers each call with a part over and over. */
async function startGateway (context: nodeTest.TestContext, part: string, times: number): Promise<Fixture> {
  const sockets = new Set<net.Socket>()
  const counters: Array<() => number> = []
  const engine = net.createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.resume()
      socket.write(CHUNKED_HEAD)
      counters.push(writeRepeatedly(socket, part, times, END))
    })
  })
  await new Promise<void>((resolve) => { engine.listen(0, types.LOOPBACK_HOST, resolve) })
  const peaks = { held: 0, buffered: 0 }
  const logged: string[] = []
  const heldBytes = createHeldBytes.createHeldBytes({ maximumBytes: Infinity, now: () => 0 })
  const buffers = createAnswerBuffers.createAnswerBuffers(64 * BYTES_IN_MEBIBYTE)
  const log = (event: string, fields: unknown): void => { logged.push(`${event} ${JSON.stringify(fields)}`) }
  const options = handlerTesting.createHandlerOptions({ kind: 'once' }, {
    now: () => performance.now(),
    heldBytes: {
      read: heldBytes.read,
      readUploads: heldBytes.readUploads,
      open: (drop) => {
        const holding = heldBytes.open(drop)
        const noteUpload = (bytes: number): boolean => {
          const isHeld = holding.noteUpload(bytes)
          peaks.held = Math.max(peaks.held, heldBytes.read())
          return isHeld
        }
        return { ...holding, noteUpload }
      }
    },
    answerBuffers: {
      read: buffers.read,
      open: (drop) => {
        const buffer = buffers.open(drop)
        const note = (bytes: number): boolean => {
          const isHeld = buffer.note(bytes)
          peaks.buffered = Math.max(peaks.buffered, buffers.read())
          return isHeld
        }
        return { ...buffer, note }
      }
    },
    logger: { info: log, warn: log, error: log } as unknown as createCallHandler.CallHandlerOptions['logger'],
    sendAttempt: (request) => sendAttempt.sendAttempt({ ...request, address: { host: types.LOOPBACK_HOST, port: (engine.address() as net.AddressInfo).port } })
  })
  const handler = createCallHandler.createCallHandler({
    ...options,
    protocol: { ...options.protocol, readAnswer: () => ({ kind: 'answered', status: 200, headers: [], isStream: false, version: null }) },
    routes: () => ({ ...options.routes(), configuration: { limits: { maximumBodyBytes: MAXIMUM_BODY_BYTES } } }) as unknown as ReturnType<createCallHandler.CallHandlerOptions['routes']>
  })
  const server = createCallerServer.createCallerServer(handler)
  await server.listen(ADDRESS)
  context.after(() => {
    server.close()
    engine.close()
    for (const socket of sockets) socket.destroy()
  })
  return { heldBytes, buffers, peaks, logged, engineSentBytes: () => counters.reduce((sum, read) => sum + read(), 0) }
}

interface Caller {
  readonly status: Promise<number>
  readonly closed: Promise<void>
  readonly sentBytes: () => number
}

/** Sends a call with a body in chunks; without parts it has none. */
function sendCall (context: nodeTest.TestContext, part: string, times: number): Caller {
  const socket = net.connect(ADDRESS.port, ADDRESS.host)
  context.after(() => { socket.destroy() })
  socket.on('error', () => {})
  let received = ''
  const status = new Promise<number>((resolve, reject) => {
    socket.on('data', (bytes: Buffer) => {
      if (received.length < 100) received += bytes.toString('latin1', 0, 100)
      const match = /^HTTP\/1.1 (\d+) /.exec(received)
      if (match !== null) resolve(Number(match[1]))
    })
    socket.once('close', () => { reject(new Error('no answer')) })
  })
  status.catch(() => {})
  const closed = new Promise<void>((resolve) => { socket.once('close', () => { resolve() }) })
  socket.write(times === 0 ? 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n' : CHUNKED_REQUEST)
  return { status, closed, sentBytes: writeRepeatedly(socket, part, times, END) }
}

for (const callers of [1, 16]) {
  nodeTest.test(`${callers} calls with bodies of 4 MB in chunks of one byte get 400 and lose their connections, and nothing is held of them`, LIMIT, async (context) => {
    const fixture = await startGateway(context, 'x', 1)
    const faulty = Array.from({ length: callers }, () => sendCall(context, ONE_BYTE_CHUNKS, 400))
    for (const caller of faulty) {
      assert.equal(await caller.status, 400)
      await caller.closed
      assert.ok(caller.sentBytes() < MAXIMUM_SENT_BYTES, `${caller.sentBytes()} bytes`)
    }
    assert.ok(fixture.peaks.held <= callers * 64 * 1024, `${fixture.peaks.held} bytes held`)
    assert.equal(fixture.heldBytes.read(), 0)
    assert.equal(fixture.logged.filter((line) => line.startsWith('body-refused {"id":"r","caller":"127.0.0.1","reason":"framing","allowedBytes":131072}')).length, callers)
  })

  nodeTest.test(`${callers} answers in chunks of one byte without end are failed attempts, and little is held of them`, LIMIT, async (context) => {
    const fixture = await startGateway(context, ONE_BYTE_CHUNKS, Infinity)
    const calls = Array.from({ length: callers }, () => sendCall(context, '', 0))
    for (const { status } of calls) assert.equal(await status, 502)
    assert.ok(fixture.engineSentBytes() < callers * MAXIMUM_SENT_BYTES, `${fixture.engineSentBytes()} bytes`)
    assert.ok(fixture.peaks.buffered <= callers * 64 * 1024, `${fixture.peaks.buffered} bytes buffered`)
    assert.equal(fixture.buffers.read(), 0)
    assert.ok(fixture.logged.some((line) => line.includes('framing of the answer exceeds it by more than 131072 bytes')), fixture.logged.join('\n'))
  })
}

nodeTest.test('a call and its answer in chunks of a token each are served, and held in at most twice their size', LIMIT, async (context) => {
  const fixture = await startGateway(context, TOKEN_CHUNKS, 10)
  const call = sendCall(context, TOKEN_CHUNKS, 10)
  assert.equal(await call.status, 200)
  const payloadBytes = 10 * 10_000 * 20
  assert.ok(fixture.peaks.held >= payloadBytes && fixture.peaks.held <= 2 * payloadBytes, `${fixture.peaks.held} bytes held`)
  assert.ok(fixture.peaks.buffered >= payloadBytes && fixture.peaks.buffered <= 2 * payloadBytes, `${fixture.peaks.buffered} bytes buffered`)
})
