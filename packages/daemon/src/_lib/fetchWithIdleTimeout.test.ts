import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as fetchWithIdleTimeout from './fetchWithIdleTimeout.js'

const IDLE_TIMEOUT_MS = 400
const PART_COUNT = 8
const PART_INTERVAL_MS = 100
/** Limits that apply to every fetch. */
const FETCH_TIMEOUT_MS = 30_000
const MAXIMUM_FETCH_BYTES = 16 * types.BYTES_IN_MEBIBYTE
/** Turns of the event loop within which data on loopback arrives. */
const MAXIMUM_TURNS = 100_000

async function waitUntil (condition: () => boolean): Promise<void> {
  for (let turn = 0; !condition() && turn < MAXIMUM_TURNS; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
}

async function startServer (context: nodeTest.TestContext, answer: http.RequestListener): Promise<string> {
  const server = http.createServer(answer)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  context.after(() => {
    server.closeAllConnections()
    server.close()
  })
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

/** Sends a response in parts and stalls after `sentParts` of them. */
async function startSlowServer (context: nodeTest.TestContext, sentParts: number): Promise<string> {
  return await startServer(context, (_request, response) => {
    void (async () => {
      for (let part = 0; part < sentParts; part += 1) {
        response.write('x')
        await types.delay(PART_INTERVAL_MS)
      }
      if (sentParts === PART_COUNT) response.end()
    })()
  })
}

async function fetchFrom (context: nodeTest.TestContext, base: string, idleTimeoutMs: number): Promise<types.Outcome<rpc.BufferedResponse, types.UnavailableError>> {
  const agents = rpc.createHttpAgents()
  context.after(() => { agents.destroy() })
  return await fetchWithIdleTimeout.fetchWithIdleTimeout(agents, { base, path: '/', method: 'GET', headers: {} }, idleTimeoutMs, MAXIMUM_FETCH_BYTES)
}

async function fetchFromSlowServer (context: nodeTest.TestContext, sentParts: number): Promise<types.Outcome<rpc.BufferedResponse, types.UnavailableError>> {
  return await fetchFrom(context, await startSlowServer(context, sentParts), IDLE_TIMEOUT_MS)
}

nodeTest.test('a response that takes longer than the idle timeout is read completely while bytes keep arriving', async (context) => {
  const answer = await fetchFromSlowServer(context, PART_COUNT)
  assert.ok(answer.ok)
  assert.equal(answer.value.body.length, PART_COUNT)
})

nodeTest.test('a response that stalls halfway is aborted', async (context) => {
  assert.equal((await fetchFromSlowServer(context, 2)).ok, false)
})

nodeTest.test('a response that never begins is aborted', async (context) => {
  assert.equal((await fetchFromSlowServer(context, 0)).ok, false)
})

nodeTest.test('a response that exceeds the maximum size is rejected with the reason', async (context) => {
  const base = await startServer(context, (_request, response) => { response.end(Buffer.alloc(MAXIMUM_FETCH_BYTES + 1)) })
  const answer = await fetchFrom(context, base, IDLE_TIMEOUT_MS)
  assert.ok(!answer.ok)
  assert.match(answer.error.message, /exceeds/)
})

nodeTest.test('a response that is not complete within the overall timeout is aborted, even before the idle timeout', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  let hasBegun = false
  const base = await startServer(context, (_request, response) => {
    response.write('x')
    hasBegun = true
  })
  let answer: types.Outcome<rpc.BufferedResponse, types.UnavailableError> | null = null
  void fetchFrom(context, base, 2 * FETCH_TIMEOUT_MS).then((outcome) => { answer = outcome })
  await waitUntil(() => hasBegun)
  context.mock.timers.tick(FETCH_TIMEOUT_MS + 1)
  await waitUntil(() => answer !== null)
  assert.match(JSON.stringify(answer), /"ok":false/)
})
