/** Guards against streams that look whole without their last events, or stay open, if they are ended while a slow caller has not read what has arrived. */
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
const LEAVE_MS = 1000

interface UnreadStream {
  readonly handler: createCallHandler.CallHandler
  readonly caller: net.Socket
  /** Number of attempts that have ended. */
  readonly countEnded: () => number
}

/** Opens a stream whose engine has sent all of it, and whose caller reads nothing; `isKept` tells whether the engine leaves its connection open after that. */
async function openUnreadStream (context: nodeTest.TestContext, isKept: boolean): Promise<UnreadStream> {
  let response: http.ServerResponse | undefined
  let endedCount = 0
  let hasEnded = (): void => {}
  const ended = new Promise<void>((resolve) => { hasEnded = resolve })

  /** Sends events until the caller's buffers are full, and then the last one. */
  async function sendEvents (answer: http.ServerResponse): Promise<void> {
    answer.shouldKeepAlive = isKept
    do {
      answer.write(EVENT)
      await types.delay(1)
      if (response?.writableNeedDrain === true) await types.delay(SETTLE_MS)
    } while (response?.writableNeedDrain !== true)
    answer.end(LAST_EVENT, hasEnded)
  }

  const engine = http.createServer({ requireHostHeader: false }, (_request, answer) => { void sendEvents(answer) })
  await new Promise<void>((resolve) => { engine.listen(0, types.LOOPBACK_HOST, resolve) })
  const options = handlerTesting.createHandlerOptions({ isResumable: true }, {
    now: () => 0,
    sendAttempt: (request) => sendAttempt.sendAttempt({ ...request, address: { host: types.LOOPBACK_HOST, port: (engine.address() as net.AddressInfo).port } })
  })
  const noteEnded: typeof options.tracker.noteEnded = (id, open) => {
    endedCount += 1
    options.tracker.noteEnded(id, open)
  }
  const handler = createCallHandler.createCallHandler({ ...options, tracker: { ...options.tracker, noteEnded } })
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
  caller.on('error', () => {})
  caller.pause()
  caller.write(REQUEST)
  await ended
  await types.delay(SETTLE_MS)
  return { handler, caller, countEnded: () => endedCount }
}

for (const isKept of [true, false]) {
  const connection = isKept ? 'open' : 'closed'
  nodeTest.test(`a stream that expires while its caller reads slowly does not look whole without the events that its engine has sent (its connection ${connection})`, LIMIT, async (context) => {
    const { handler, caller } = await openUnreadStream(context, isKept)
    let received = ''
    handler.endAll()
    caller.on('data', (bytes: Buffer) => { received = (received + bytes.toString('latin1')).slice(-EVENT.length) })
    caller.resume()
    await new Promise((resolve) => { caller.once('close', resolve) })
    assert.equal(received.endsWith(END) && !received.includes(LAST_EVENT), false, `${caller.bytesRead} bytes, at the end ${JSON.stringify(received.slice(-60))}`)
  })

  nodeTest.test(`the attempt ends if the caller of a stream leaves that it has not read (the engine's connection ${connection})`, LIMIT, async (context) => {
    const { caller, countEnded } = await openUnreadStream(context, isKept)
    assert.equal(countEnded(), 0)
    caller.destroy()
    await types.delay(LEAVE_MS)
    assert.equal(countEnded(), 1)
  })
}
