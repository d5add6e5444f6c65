import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
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
