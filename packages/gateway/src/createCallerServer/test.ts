import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as gateway from '../types/index.js'
import * as createCallerServer from './index.js'

const POLL_MS = 10
const LIMIT = { timeout: 20_000 }
const ADDRESS = { host: '127.0.0.31', port: 18_431 }

/** Sends a request and returns the response body; null if the connection fails. */
async function sendRequest (): Promise<string | null> {
  return await new Promise((resolve) => {
    http.get({ ...ADDRESS, agent: false }, (response) => {
      let body = ''
      response.on('data', (part: Buffer) => { body += part.toString() })
      response.on('end', () => { resolve(body) })
    }).on('error', () => { resolve(null) })
  })
}

/** Connections that were established before the drain are still accepted, so that the port is closed a little later. */
async function isRefused (): Promise<boolean> {
  return await new Promise((resolve) => {
    const socket = net.connect(ADDRESS.port, ADDRESS.host, () => {
      socket.destroy()
      resolve(false)
    })
    socket.once('error', () => { resolve(true) })
  })
}

nodeTest.test('a server that stops accepting connections completes the calls in progress', LIMIT, async (context) => {
  let end: () => void = () => {}
  let noteBegun: () => void = () => {}
  const hasBegun = new Promise<void>((resolve) => { noteBegun = resolve })
  const handle = (_request: http.IncomingMessage, response: http.ServerResponse): void => {
    response.write('first ')
    end = () => { response.end('last') }
    noteBegun()
  }
  const server = createCallerServer.createCallerServer({ handle })
  await server.listen(ADDRESS)
  context.after(server.close)
  const answer = sendRequest()
  await hasBegun
  const drained = server.drain()
  while (!await isRefused()) await types.delay(POLL_MS)
  assert.equal(await sendRequest(), null)
  end()
  assert.equal(await answer, 'first last')
  await drained
})

const LONG_MS = 3000
const SHORT_MS = 100
/** The server and Node.js close an idle connection each a second later than told. */
const MARGINS_MS = 2000

async function openLimited (context: nodeTest.TestContext, limits: Partial<gateway.CallerLimits>): Promise<{ change: (limits: Partial<gateway.CallerLimits>) => void, socket: net.Socket, waitFor: (text: string) => Promise<void> }> {
  const server = createCallerServer.createCallerServer({ handle: (request, response) => { response.end(`end of ${request.url ?? ''}`) } })
  const change = (changed: Partial<gateway.CallerLimits>): void => { server.setLimits({ ...gateway.DEFAULT_CALLER_LIMITS, ...changed }) }
  change(limits)
  await server.listen(ADDRESS)
  context.after(server.close)
  const socket = net.connect(ADDRESS.port, ADDRESS.host)
  let received = ''
  let hasEnded = false
  socket.on('data', (bytes: Buffer) => { received += bytes.toString() })
  socket.on('error', () => {})
  socket.on('close', () => { hasEnded = true })
  const waitFor = async (text: string): Promise<void> => {
    while (!received.includes(text)) {
      assert.ok(!hasEnded, `the connection ended after: ${received}`)
      await types.delay(POLL_MS)
    }
  }
  return { change, socket, waitFor }
}

nodeTest.test('a connection that rests while the idle limit becomes longer is kept until the new limit', LIMIT, async (context) => {
  const { change, socket, waitFor } = await openLimited(context, { idleTimeoutMs: SHORT_MS })
  socket.write('GET /first HTTP/1.1\r\nHost: server\r\n\r\n')
  await waitFor('end of /first')
  change({ idleTimeoutMs: LONG_MS })
  await types.delay(SHORT_MS + MARGINS_MS + LONG_MS / 10)
  socket.write('GET /next HTTP/1.1\r\nHost: server\r\n\r\n')
  await waitFor('end of /next')
})

nodeTest.test('a connection whose caller was told a longer idle limit than the new one is kept until the longer one', LIMIT, async (context) => {
  const { change, socket, waitFor } = await openLimited(context, { idleTimeoutMs: LONG_MS })
  change({ idleTimeoutMs: SHORT_MS })
  socket.write('GET /first HTTP/1.1\r\nHost: server\r\n\r\n')
  await waitFor('end of /first')
  await types.delay(SHORT_MS + MARGINS_MS + LONG_MS / 10)
  socket.write('GET /next HTTP/1.1\r\nHost: server\r\n\r\n')
  await waitFor('end of /next')
})

nodeTest.test('a head that arrives while its limit becomes shorter has the time of the longer limit', LIMIT, async (context) => {
  const { change, socket, waitFor } = await openLimited(context, { headerTimeoutMs: LONG_MS })
  socket.write('GET /first HTTP/1.1\r\n')
  await types.delay(POLL_MS)
  change({ headerTimeoutMs: SHORT_MS })
  await types.delay(LONG_MS / 2)
  socket.write('Host: server\r\n\r\n')
  await waitFor('end of /first')
})

nodeTest.test('shorter limits come into force once the time of the longer ones is over', LIMIT, async (context) => {
  const { change, socket, waitFor } = await openLimited(context, { headerTimeoutMs: LONG_MS })
  socket.write('GET /first HTTP/1.1\r\nHost: server\r\n\r\n')
  await waitFor('end of /first')
  change({ headerTimeoutMs: SHORT_MS })
  await types.delay(LONG_MS + SHORT_MS)
  socket.write('GET /next HTTP/1.1\r\n')
  await types.delay(LONG_MS / 2)
  socket.write('Host: server\r\n\r\n')
  await waitFor(' 408 ')
})
