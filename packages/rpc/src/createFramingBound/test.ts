/** Guards against messages whose framing costs work without end, and against legal streams of small chunks that are taken for such. */
import * as assert from 'node:assert/strict'
import type * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as rpc from '../index.js'

const MEBIBYTE = types.BYTES_IN_MEBIBYTE
const READ_BYTES = 64 * types.BYTES_IN_KIBIBYTE
const ALLOWED_BYTES = 128 * types.BYTES_IN_KIBIBYTE

interface Fixture {
  readonly framing: rpc.FramingBound
  /** Lets whole reads of chunks arrive, each of so much payload and framing; returns after how many chunks the framing exceeded the bound, or null. */
  readonly receive: (chunks: number, payloadBytes: number, framingBytes: number) => number | null
  readonly message: { complete: boolean }
}

/** Creates a message on a connection that has brought others before. */
function createFixture (maximumBodyBytes?: number): Fixture {
  const socket = { bytesRead: 50 * MEBIBYTE, readableLength: 0 }
  const message = { socket, complete: false, readableLength: 0 }
  const framing = rpc.createFramingBound(message as unknown as http.IncomingMessage, maximumBodyBytes)
  let parsedBytes = socket.bytesRead

  function receive (chunks: number, payloadBytes: number, framingBytes: number): number | null {
    for (let chunk = 1; chunk <= chunks; chunk += 1) {
      parsedBytes += payloadBytes + framingBytes
      while (socket.bytesRead < parsedBytes) socket.bytesRead += READ_BYTES
      if (!framing.accept(payloadBytes)) return chunk
    }
    return null
  }

  return { framing, receive, message }
}

nodeTest.test('chunks of a token each pass for ever, also after many others', () => {
  const { receive } = createFixture()
  for (const payloadBytes of [20, 60, 5, 30_000, 20]) assert.equal(receive(100_000, payloadBytes, 5), null)
})

nodeTest.test('chunks of one byte are given up after a fixed number, however much payload came before', () => {
  for (const earlierChunks of [0, 1000]) {
    const { receive, framing } = createFixture()
    assert.equal(framing.allowedBytes, ALLOWED_BYTES)
    receive(earlierChunks, 50_000, 8)
    const chunks = receive(MEBIBYTE, 1, 5)
    assert.ok(chunks !== null && chunks >= 16_000 && chunks <= ALLOWED_BYTES / 4 + 1, String(chunks))
  }
})

nodeTest.test('empty comments of a stream without tokens for eight hours, one a second, pass', () => {
  assert.equal(createFixture().receive(8 * 3600, 3, 5), null)
})

nodeTest.test('a body whose bound is short may come in chunks of one byte', () => {
  const { receive, framing } = createFixture(10_000)
  assert.equal(framing.allowedBytes, READ_BYTES + 60_000)
  assert.equal(receive(10_000, 1, 5), null)
})

nodeTest.test('what waits in the socket until the parser gets it is not counted', () => {
  const socket = { bytesRead: 0, readableLength: 0 }
  const framing = rpc.createFramingBound({ socket, complete: false, readableLength: 0 } as unknown as http.IncomingMessage)
  socket.bytesRead = 4 * READ_BYTES
  socket.readableLength = 4 * READ_BYTES - 26
  assert.equal(framing.accept(20), true)
  socket.readableLength = 0
  assert.equal(framing.accept(20), false)
})

nodeTest.test('what arrives after the end of a message is not counted', () => {
  const { receive, message } = createFixture()
  message.complete = true
  assert.equal(receive(MEBIBYTE, 1, 100), null)
})
