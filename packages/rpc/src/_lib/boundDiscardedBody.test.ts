/** Guards against callers whose request goes on without end after it was answered. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as rpc from '../index.js'

const LIMIT = { timeout: 20_000 }
const CHUNK = `10000\r\n${'x'.repeat(65_536)}\r\n`
const HEAD = 'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
/** Far more than is discarded; Node.js would read it all. */
const AVAILABLE_BYTES = 16_384 * types.BYTES_IN_MEBIBYTE

/** Sends a request with a body of up to so many bytes, and as much as the server reads; resolves with what was sent when the connection closes, or once all is. */
async function sendBody (context: nodeTest.TestContext, bytes: number): Promise<{ readonly sentBytes: number, readonly isClosed: boolean, readonly received: string }> {
  const listener = await rpc.listenHttp((_request, response) => { response.end('answered') }, { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  const socket = net.connect(listener.address.port, types.LOOPBACK_HOST)
  context.after(() => { socket.destroy() })
  let sentBytes = 0
  let received = ''
  socket.on('data', (part: Buffer) => { received += part.toString() })
  return await new Promise((resolve) => {
    socket.on('error', () => {})
    socket.once('close', () => { resolve({ sentBytes, isClosed: true, received }) })
    socket.on('drain', send)
    socket.write(HEAD)
    send()

    function send (): void {
      while (sentBytes < bytes) {
        sentBytes += CHUNK.length
        if (!socket.write(CHUNK)) return
      }
      socket.off('drain', send)
      socket.write('0\r\n\r\n', () => { setTimeout(() => { resolve({ sentBytes, isClosed: false, received }) }, 1000) })
    }
  })
}

nodeTest.test('the connection of a request without end that was answered is closed', LIMIT, async (context) => {
  const { isClosed, received } = await sendBody(context, AVAILABLE_BYTES)
  assert.equal(isClosed, true)
  assert.match(received, /answered/)
})

nodeTest.test('the connection of a long request that was answered is kept', LIMIT, async (context) => {
  const { isClosed, received } = await sendBody(context, 8 * types.BYTES_IN_MEBIBYTE)
  assert.equal(isClosed, false)
  assert.match(received, /answered/)
})
