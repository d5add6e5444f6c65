/** Guards against origins and peers whose answers cost far more than their bytes: chunks of one byte, or a body that goes on. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as transfer from '../index.js'

const LIMIT = { timeout: 60_000 }
const RANGE_BYTES = 4 * types.BYTES_IN_MEBIBYTE
const MAXIMUM_SENT_BYTES = 8 * types.BYTES_IN_MEBIBYTE
const HEAD = 'HTTP/1.1 206 Partial Content\r\ntransfer-encoding: chunked\r\n\r\n'
const IDENTITY = { deployment: 'test', sharedKey: '' }

interface Peer {
  readonly address: types.Address
  readonly options: transfer.FetchOptions
  readonly sentBytes: () => number
}

/** Starts a server that answers with a part so many times, and then with an end, or closes the connection if there is none. */
async function startPeer (context: nodeTest.TestContext, part: string, times: number, end: string | null): Promise<Peer> {
  let sentBytes = 0
  const sockets: net.Socket[] = []
  const server = net.createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.once('data', () => {
      let sent = 0
      socket.write(HEAD)
      send()
      socket.on('drain', send)

      function send (): void {
        while (sent < times && !socket.destroyed) {
          sent += 1
          sentBytes += part.length
          if (sent === times && end === null) socket.end(part)
          else if (!socket.write(sent === times ? part + String(end) : part)) return
        }
      }
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  const options = { agents, identity: IDENTITY, self: types.brandId<types.NodeId>('self'), timeoutMs: 30_000, signal: new AbortController().signal }
  return { address: { host: types.LOOPBACK_HOST, port: (server.address() as net.AddressInfo).port }, options, sentBytes: () => sentBytes }
}

async function fetchRange (peer: Peer): Promise<transfer.OriginAnswer> {
  return await transfer.fetchOriginRange(`http://${peer.address.host}:${peer.address.port}/weights`, 0, RANGE_BYTES, peer.options)
}

nodeTest.test('a range in chunks of one byte fails long before it is complete', LIMIT, async (context) => {
  const peer = await startPeer(context, '1\r\nx\r\n'.repeat(10_000), Infinity, null)
  const { bytes, error } = await fetchRange(peer)
  assert.match(error?.message ?? '', /the framing of a range exceeds it/)
  assert.ok(bytes.buffer.byteLength <= 128 * types.BYTES_IN_KIBIBYTE, `${bytes.buffer.byteLength} bytes held`)
  assert.ok(peer.sentBytes() < MAXIMUM_SENT_BYTES, `${peer.sentBytes()} bytes`)
})

nodeTest.test('a range in chunks of 20 bytes is whole, in storage of its size', LIMIT, async (context) => {
  const peer = await startPeer(context, `14\r\n${'x'.repeat(20)}\r\n`.repeat(1000), Math.floor(RANGE_BYTES / 20_000), `${(RANGE_BYTES % 20_000).toString(16)}\r\n${'x'.repeat(RANGE_BYTES % 20_000)}\r\n0\r\n\r\n`)
  const { bytes, error } = await fetchRange(peer)
  assert.equal(error, undefined)
  assert.equal(bytes.length, RANGE_BYTES)
  assert.equal(bytes.buffer.byteLength, RANGE_BYTES)
})

nodeTest.test('what came of a range before its connection broke is returned', LIMIT, async (context) => {
  const { bytes, error } = await fetchRange(await startPeer(context, `3e8\r\n${'x'.repeat(1000)}\r\n`, 100, null))
  assert.ok(error !== undefined)
  assert.equal(bytes.length, 100_000)
})

nodeTest.test('a chunk of a peer in HTTP chunks of one byte is no answer', LIMIT, async (context) => {
  const peer = await startPeer(context, '1\r\nx\r\n'.repeat(10_000), Infinity, null)
  const { outcome } = await transfer.fetchChunk(peer.address, types.brandId('a'.repeat(64)), 0, '', RANGE_BYTES, peer.options)
  assert.match(outcome.ok ? 'answered' : outcome.error.message, /the framing of the answer exceeds/)
  assert.ok(peer.sentBytes() < MAXIMUM_SENT_BYTES, `${peer.sentBytes()} bytes`)
})
