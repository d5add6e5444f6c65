/** Guards against a stream that looks whole although events that had arrived were discarded when it was ended while its caller read slowly. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as handlerTesting from '../_lib/handlerTesting.js'
import * as createCallerServer from '../createCallerServer/index.js'
import * as sendAttempt from '../sendAttempt/index.js'
import * as createCallHandler from './index.js'

const ADDRESS = { host: '127.0.0.46', port: 18_446 }
const LIMIT = { timeout: 20_000 }
const EVENT = `id: 1\ndata: ${'x'.repeat(32_768)}\n\n`
const LAST_EVENT = 'id: 2\ndata: last\n\n'
const END = '0\r\n\r\n'
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
const SETTLE_MS = 50

nodeTest.test('a stream that expires while its caller reads slowly does not look whole without the events that its engine has sent', LIMIT, async (context) => {
  let response: http.ServerResponse | undefined
  let hasEnded = (): void => {}
  const ended = new Promise<void>((resolve) => { hasEnded = resolve })

  /** Sends events until the caller's buffers are full, and then the last one. */
  async function sendEvents (answer: http.ServerResponse): Promise<void> {
    // The engine leaves the connection open after its answer.
    answer.shouldKeepAlive = true
    do {
      answer.write(EVENT)
      await types.delay(1)
      if (response?.writableNeedDrain === true) await types.delay(SETTLE_MS)
    } while (response?.writableNeedDrain !== true)
    answer.end(LAST_EVENT, hasEnded)
  }

  const engine = http.createServer({ requireHostHeader: false }, (_request, answer) => { void sendEvents(answer) })
  await new Promise<void>((resolve) => { engine.listen(0, types.LOOPBACK_HOST, resolve) })
  const handler = createCallHandler.createCallHandler(handlerTesting.createHandlerOptions({ isResumable: true }, {
    now: () => 0,
    sendAttempt: (request) => sendAttempt.sendAttempt({ ...request, address: { host: types.LOOPBACK_HOST, port: (engine.address() as net.AddressInfo).port } })
  }))
  const server = createCallerServer.createCallerServer({
    handle: (request, opened) => {
      response = opened
      handler.handle(request, opened)
    }
  })
  await server.listen(ADDRESS)
  const caller = net.connect(ADDRESS)
  context.after(() => {
    caller.destroy()
    server.close()
    engine.close()
  })
  let received = ''
  caller.on('error', () => {})
  caller.pause()
  caller.write(REQUEST)
  await ended
  await types.delay(SETTLE_MS)
  handler.endAll()
  caller.on('data', (bytes: Buffer) => { received = (received + bytes.toString('latin1')).slice(-EVENT.length) })
  caller.resume()
  await new Promise((resolve) => { caller.once('close', resolve) })
  assert.equal(received.endsWith(END) && !received.includes(LAST_EVENT), false, `${caller.bytesRead} bytes, at the end ${JSON.stringify(received.slice(-60))}`)
})
