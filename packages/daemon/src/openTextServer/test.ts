/** Guards against a process that computes and holds texts for requests that a peer sends ahead without reading, and reads bodies that nobody wants. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as openTextServer from './index.js'

const ADDRESS = { host: '127.0.0.68', port: 18_468 }
const LIMIT = { timeout: 20_000 }
const SETTLE_MS = 200
const REQUESTS = 10

interface Opened {
  readonly socket: net.Socket
  readonly countAnswers: () => number
  readonly received: () => string
  /** Ends the answers that wait. */
  readonly answer: () => void
}

async function openServer (context: nodeTest.TestContext): Promise<Opened> {
  let answers = 0
  let answer: () => void = () => {}
  const server = await openTextServer.openTextServer(ADDRESS, {
    '/text': async () => {
      answers += 1
      await new Promise<void>((resolve) => { answer = resolve })
      return { status: 200, body: `text ${answers}` }
    }
  })
  const socket = net.connect(ADDRESS.port, ADDRESS.host)
  context.after(() => {
    socket.destroy()
    server.abort()
  })
  let received = ''
  socket.on('data', (bytes: Buffer) => { received += bytes.toString() })
  return { socket, countAnswers: () => answers, received: () => received, answer: () => { answer() } }
}

nodeTest.test('a text is made once the ones before it on its connection are sent', LIMIT, async (context) => {
  const { socket, countAnswers, received, answer } = await openServer(context)
  socket.write('GET /text HTTP/1.1\r\nHost:\r\n\r\n'.repeat(REQUESTS))
  while (countAnswers() === 0) await types.delay(1)
  await types.delay(SETTLE_MS)
  assert.equal(countAnswers(), 1)
  while (countAnswers() < REQUESTS || !received().endsWith(`text ${REQUESTS}`)) {
    answer()
    await types.delay(1)
  }
  assert.equal(received().match(/text \d+/g)?.length, REQUESTS)
})

nodeTest.test('the connection of a request with a long body is closed after its answer', LIMIT, async (context) => {
  const { socket, countAnswers, received, answer } = await openServer(context)
  const ended = new Promise<void>((resolve) => { socket.once('end', resolve) })
  socket.write('POST /text HTTP/1.1\r\nHost:\r\nContent-Length: 1000000\r\n\r\n')
  while (countAnswers() === 0) await types.delay(1)
  answer()
  await ended
  assert.match(received(), /Connection: close[^]*text 1$/)
})
