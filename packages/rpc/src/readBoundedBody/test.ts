/** Guards against bodies that cost far more memory or work than their payload: chunks of one byte, and long extensions of chunks. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as rpc from '../index.js'

const LIMIT = { timeout: 30_000 }
const MAXIMUM_BYTES = types.BYTES_IN_MEBIBYTE
const CHUNKED_HEAD = 'POST / HTTP/1.1\r\nhost: server\r\ntransfer-encoding: chunked\r\n\r\n'
const END = '0\r\n\r\n'
/** Twice what may precede the payload, and what the buffers of the system take on both sides. */
const MAXIMUM_READ_BYTES = 512 * types.BYTES_IN_KIBIBYTE

interface Read {
  readonly outcome: rpc.BodyOutcome
  readonly heldBytes: readonly number[]
  /** Bytes of the connection that were read until then. */
  readonly readBytes: number
}

interface Reader {
  readonly reads: Read[]
  /** Opens a connection and writes what is given, in parts if it is long. */
  readonly connect: (text: string) => net.Socket
  readonly waitForReads: (count: number) => Promise<void>
}

/** Starts a server that reads the bodies of all requests, and closes the connection of one whose body is not whole. */
async function openReader (context: nodeTest.TestContext, mayHold: (heldBytes: number) => boolean = () => true, maximumBytes = MAXIMUM_BYTES): Promise<Reader> {
  const reads: Read[] = []
  const server = http.createServer((request, response) => {
    const heldBytes: number[] = []
    void rpc.readBoundedBody(request, maximumBytes, { mayHold: (bytes) => { heldBytes.push(bytes); return mayHold(bytes) } }).then((outcome) => {
      reads.push({ outcome, heldBytes, readBytes: request.socket.bytesRead })
      if (outcome.kind === 'whole') response.end()
      else request.socket.destroy()
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const sockets: net.Socket[] = []
  context.after(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
    server.closeAllConnections()
  })
  return {
    reads,
    connect: (text) => {
      const socket = net.connect((server.address() as net.AddressInfo).port, types.LOOPBACK_HOST)
      sockets.push(socket)
      socket.on('error', () => {})
      socket.resume()
      socket.write(text)
      return socket
    },
    waitForReads: async (count) => { while (reads.length < count) await new Promise((resolve) => { setImmediate(resolve) }) }
  }
}

function formatChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

nodeTest.test('a body in chunks of one byte is refused once its framing exceeds the payload by a fixed number of bytes', LIMIT, async (context) => {
  const reader = await openReader(context)
  reader.connect(CHUNKED_HEAD + formatChunk('x').repeat(MAXIMUM_BYTES) + END)
  await reader.waitForReads(1)
  const { outcome, heldBytes, readBytes } = reader.reads[0] as Read
  assert.deepEqual(outcome, { kind: 'over-framed', allowedBytes: 128 * types.BYTES_IN_KIBIBYTE })
  assert.ok(readBytes <= MAXIMUM_READ_BYTES, `${readBytes} bytes read`)
  assert.ok(heldBytes.every((held) => held <= 64 * types.BYTES_IN_KIBIBYTE))
})

nodeTest.test('a body whose chunks have long extensions is refused', LIMIT, async (context) => {
  const reader = await openReader(context)
  reader.connect(CHUNKED_HEAD + `1;${'e'.repeat(10_000)}\r\nx\r\n`.repeat(1000) + END)
  await reader.waitForReads(1)
  assert.equal(reader.reads[0]?.outcome.kind, 'over-framed')
  assert.ok((reader.reads[0] as Read).readBytes <= MAXIMUM_READ_BYTES)
})

for (const bytes of [6, 20, 60, 1000, 100_000]) {
  nodeTest.test(`a body of the largest size in chunks of ${bytes} bytes is whole, and its memory is that of its size`, LIMIT, async (context) => {
    const reader = await openReader(context)
    const text = formatChunk('x'.repeat(bytes)).repeat(Math.floor(MAXIMUM_BYTES / bytes))
    reader.connect(CHUNKED_HEAD + text + END)
    await reader.waitForReads(1)
    const { outcome, heldBytes } = reader.reads[0] as Read
    assert.ok(outcome.kind === 'whole')
    assert.equal(outcome.body.length, bytes * Math.floor(MAXIMUM_BYTES / bytes))
    assert.ok(outcome.body.buffer.byteLength <= MAXIMUM_BYTES)
    assert.ok(heldBytes.every((held) => held <= MAXIMUM_BYTES))
  })
}

nodeTest.test('many large bodies at once, which are read in turn, are whole', LIMIT, async (context) => {
  const reader = await openReader(context, undefined, 8 * MAXIMUM_BYTES)
  for (const bytes of [30, 1000, 16_000, 65_536, 500_000]) {
    for (let count = 0; count < 4; count += 1) reader.connect(CHUNKED_HEAD + formatChunk('x'.repeat(bytes)).repeat(Math.floor(4 * MAXIMUM_BYTES / bytes)) + END)
  }
  await reader.waitForReads(20)
  assert.deepEqual(reader.reads.map(({ outcome }) => outcome.kind), Array.from({ length: 20 }, () => 'whole'))
})

nodeTest.test('a short body in chunks of one byte is whole, also on a kept connection after other bodies', LIMIT, async (context) => {
  const reader = await openReader(context)
  const request = CHUNKED_HEAD + formatChunk('x').repeat(5000) + END
  const socket = reader.connect(request)
  for (let count = 1; count <= 20; count += 1) {
    await reader.waitForReads(count)
    socket.write(request)
  }
  await reader.waitForReads(21)
  assert.ok(reader.reads.every(({ outcome }) => outcome.kind === 'whole' && outcome.body.length === 5000))
})

nodeTest.test('requests that follow on the same connection do not count as framing', LIMIT, async (context) => {
  const reader = await openReader(context)
  reader.connect((CHUNKED_HEAD + formatChunk('x'.repeat(20)) + END).repeat(500) + CHUNKED_HEAD + formatChunk('y'.repeat(20)).repeat(20_000) + END)
  await reader.waitForReads(501)
  assert.ok(reader.reads.every(({ outcome }) => outcome.kind === 'whole'))
})

nodeTest.test('a body with its length is held in storage of that length', LIMIT, async (context) => {
  const reader = await openReader(context)
  reader.connect(`POST / HTTP/1.1\r\nhost: server\r\ncontent-length: 300000\r\n\r\n${'x'.repeat(300_000)}`)
  await reader.waitForReads(1)
  const { outcome, heldBytes } = reader.reads[0] as Read
  assert.ok(outcome.kind === 'whole' && outcome.body.length === 300_000 && outcome.body.buffer.byteLength === 300_000)
  assert.equal(heldBytes.at(-1), 300_000)
})

nodeTest.test('a body is refused by a length that exceeds the bound, and without one once it exceeds it', LIMIT, async (context) => {
  const reader = await openReader(context)
  reader.connect(`POST / HTTP/1.1\r\nhost: server\r\ncontent-length: ${MAXIMUM_BYTES + 1}\r\n\r\n`)
  await reader.waitForReads(1)
  reader.connect(CHUNKED_HEAD + formatChunk('x'.repeat(10_000)).repeat(1000))
  await reader.waitForReads(2)
  assert.deepEqual(reader.reads.map(({ outcome }) => outcome.kind), ['too-large', 'too-large'])
})

nodeTest.test('a body that may not be held is given up before more memory is taken', LIMIT, async (context) => {
  const reader = await openReader(context, (heldBytes) => heldBytes <= 100_000)
  reader.connect(CHUNKED_HEAD + formatChunk('x'.repeat(30)).repeat(20_000))
  await reader.waitForReads(1)
  assert.equal(reader.reads[0]?.outcome.kind, 'not-held')
})

nodeTest.test('a body is broken if its connection ends, also before it is read', LIMIT, async (context) => {
  const reader = await openReader(context)
  const socket = reader.connect(CHUNKED_HEAD + formatChunk('xyz'))
  setTimeout(() => { socket.destroy() }, 50)
  await reader.waitForReads(1)
  assert.equal(reader.reads[0]?.outcome.kind, 'broken')
  const request = new http.IncomingMessage(new net.Socket())
  request.destroy()
  assert.equal((await rpc.readBoundedBody(request, MAXIMUM_BYTES)).kind, 'broken')
})
