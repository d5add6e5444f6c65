/** Guards against requests sent ahead over a few connections that hold up the event loop, and against handling those whose connection has closed. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as handleInTurn from './index.js'

const CONNECTIONS = 64
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
/** Two take the work of a turn by their estimate; the queue may run once more before the count of a turn ends. */
const MAXIMUM_HANDLED_IN_TURN = 4
const OPTIONS = { timeout: 20_000 }

async function openServer (context: nodeTest.TestContext, handle: (response: http.ServerResponse) => void): Promise<number> {
  const server = http.createServer((_request, response) => { handleInTurn.handleInTurn(response, () => { handle(response) }) })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  context.after(() => {
    server.close()
    server.closeAllConnections()
  })
  return (server.address() as net.AddressInfo).port
}

function sendTwoRequests (context: nodeTest.TestContext, port: number): net.Socket {
  const socket = net.connect(port, types.LOOPBACK_HOST)
  context.after(() => { socket.destroy() })
  socket.on('error', () => {})
  socket.resume()
  socket.write(REQUEST + REQUEST)
  return socket
}

nodeTest.test('requests that were sent ahead over many connections are handled over several turns of the event loop', OPTIONS, async (context) => {
  const first: http.ServerResponse[] = []
  const later: http.ServerResponse[] = []
  let handledInTurn = 0
  let mostInTurn = 0
  const port = await openServer(context, (response) => {
    if (first.length < CONNECTIONS) {
      first.push(response)
      return
    }
    later.push(response)
    handledInTurn += 1
    mostInTurn = Math.max(mostInTurn, handledInTurn)
    setImmediate(() => { handledInTurn = 0 })
    response.end()
  })
  for (let connection = 0; connection < CONNECTIONS; connection += 1) sendTwoRequests(context, port)
  while (first.length < CONNECTIONS) await types.delay(1)
  for (const response of first) response.end()
  while (later.length < CONNECTIONS) await types.delay(1)
  assert.ok(mostInTurn <= MAXIMUM_HANDLED_IN_TURN, `${mostInTurn} requests in a turn`)
})

nodeTest.test('a request that was sent ahead is not handled once its connection has closed', OPTIONS, async (context) => {
  const responses: http.ServerResponse[] = []
  const port = await openServer(context, (response) => { responses.push(response) })
  sendTwoRequests(context, port)
  while (responses.length < 1) await types.delay(1)
  const [first] = responses
  first?.once('finish', () => { first.req.socket.destroy() })
  first?.end()
  await types.delay(50)
  assert.equal(responses.length, 1)
})
