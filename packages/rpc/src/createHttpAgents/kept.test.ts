/** Guards against requests over kept connections that the peer closed while this process stood still. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as workers from 'node:worker_threads'
import * as types from '@switchridge/types'
import * as rpc from '../index.js'

const LIMIT = { timeout: 20_000 }
const STALL_MS = 1000
const MAXIMUM_BYTES = 1024
/** Runs beside the stalled event loop. Reports each request, answers it after 100 ms, and closes the connection after 100 more although the answer promised to keep it. */
const SERVER = `
  const { parentPort } = require('node:worker_threads')
  const server = require('node:http').createServer((request, response) => {
    parentPort.postMessage('received')
    response.once('finish', () => { setTimeout(() => { request.socket.end() }, 100) })
    setTimeout(() => { response.end('whole') }, 100)
  })
  server.listen(0, '${types.LOOPBACK_HOST}', () => { parentPort.postMessage(server.address().port) })`

interface ClosingServer {
  /** Resolves with the body of the answer, or with the reason why there is none. */
  readonly send: () => Promise<string>
  readonly waitForRequest: () => Promise<void>
}

async function openServer (context: nodeTest.TestContext): Promise<ClosingServer> {
  const worker = new workers.Worker(SERVER, { eval: true })
  const agents = rpc.createHttpAgents()
  context.after(async () => {
    agents.destroy()
    await worker.terminate()
  })
  const port = await new Promise((resolve) => { worker.once('message', resolve) })
  return {
    send: async () => {
      const sent = await rpc.sendRequest(agents, { base: `http://${types.LOOPBACK_HOST}:${String(port)}`, path: '/', method: 'GET', headers: {} }, MAXIMUM_BYTES)
      return sent.ok ? sent.value.body.toString() : sent.error.message
    },
    waitForRequest: async () => { await new Promise((resolve) => { worker.once('message', resolve) }) }
  }
}

function stall (): void {
  const endsAt = performance.now() + STALL_MS
  while (performance.now() < endsAt);
}

nodeTest.test('a request is not sent over a kept connection whose peer closed it while this process stood still', LIMIT, async (context) => {
  const { send } = await openServer(context)
  assert.equal(await send(), 'whole')
  stall()
  assert.equal(await send(), 'whole')
})

nodeTest.test('a request is not sent over a connection whose peer answered and closed it while this process stood still', LIMIT, async (context) => {
  const { send, waitForRequest } = await openServer(context)
  const first = send()
  await waitForRequest()
  stall()
  assert.equal(await first, 'whole')
  assert.equal(await send(), 'whole')
})
