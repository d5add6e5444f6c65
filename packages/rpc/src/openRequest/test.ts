import * as assert from 'node:assert/strict'
import type * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as rpc from '../index.js'

const HOST = '127.0.0.1'
const CHUNKS = 5
const IDLE_TIMEOUT_MS = 1000
const STALL_MS = 400
const MAXIMUM_BYTES = 1024

interface TestServer {
  readonly base: string
  readonly agents: rpc.HttpAgents
  /** Resolves with the response to the next request. */
  readonly nextResponse: () => Promise<http.ServerResponse>
}

/** Starts a server whose responses the test writes chunk by chunk. */
async function openServer (context: nodeTest.TestContext): Promise<TestServer> {
  const waiting: Array<(response: http.ServerResponse) => void> = []
  const listener = await rpc.listenHttp((_request, response) => { waiting.shift()?.(response) }, { host: HOST, port: 0 })
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    listener.abort()
  })
  return { base: `http://${HOST}:${listener.address.port}`, agents, nextResponse: async () => await new Promise((resolve) => { waiting.push(resolve) }) }
}

/** Runs the event loop until written bytes have arrived; the mocked timers do not advance meanwhile. */
async function flushEventLoop (): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
}

function send (server: TestServer, limits: Partial<rpc.OutgoingRequest>, maximumBytes = MAXIMUM_BYTES): ReturnType<typeof rpc.sendRequest> {
  return rpc.sendRequest(server.agents, { base: server.base, path: '/', method: 'GET', headers: {}, ...limits }, maximumBytes)
}

nodeTest.test('a response that keeps arriving is not aborted, however long it takes', async (context) => {
  const server = await openServer(context)
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const pendingResponse = server.nextResponse()
  const pendingResult = send(server, { idleTimeoutMs: IDLE_TIMEOUT_MS })
  const response = await pendingResponse
  for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
    response.write('part')
    await flushEventLoop()
    context.mock.timers.tick(IDLE_TIMEOUT_MS - 1)
  }
  response.end()
  const result = await pendingResult
  assert.ok(result.ok)
  assert.equal(result.value.body.toString(), 'part'.repeat(CHUNKS))
})

nodeTest.test('a response that stops arriving is aborted', async (context) => {
  const server = await openServer(context)
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const pendingResponse = server.nextResponse()
  const pendingResult = send(server, { idleTimeoutMs: IDLE_TIMEOUT_MS })
  const response = await pendingResponse
  response.write('part')
  await flushEventLoop()
  context.mock.timers.tick(IDLE_TIMEOUT_MS)
  const result = await pendingResult
  assert.ok(!result.ok)
  assert.match(result.error.message, /no byte of the answer for 1000 ms/)
})

nodeTest.test('the timeout until the first byte can be longer than the idle timeout after it', async (context) => {
  const server = await openServer(context)
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const pendingResponse = server.nextResponse()
  const pendingResult = send(server, { idleTimeoutMs: IDLE_TIMEOUT_MS, firstByteTimeoutMs: 3 * IDLE_TIMEOUT_MS })
  const response = await pendingResponse
  context.mock.timers.tick(3 * IDLE_TIMEOUT_MS - 1)
  response.write('part')
  await flushEventLoop()
  context.mock.timers.tick(IDLE_TIMEOUT_MS)
  assert.equal((await pendingResult).ok, false)
})

nodeTest.test('a response that keeps arriving is aborted at the overall timeout', async (context) => {
  const server = await openServer(context)
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const pendingResponse = server.nextResponse()
  const pendingResult = send(server, { idleTimeoutMs: IDLE_TIMEOUT_MS, timeoutMs: 2 * IDLE_TIMEOUT_MS })
  const response = await pendingResponse
  for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
    response.write('part')
    await flushEventLoop()
    context.mock.timers.tick(IDLE_TIMEOUT_MS - 1)
  }
  const result = await pendingResult
  assert.ok(!result.ok)
  assert.match(result.error.message, /no whole answer/)
})

nodeTest.test('an idle response on a reused connection is aborted too', async (context) => {
  const server = await openServer(context)
  context.mock.timers.enable({ apis: ['setTimeout'] })
  for (let attempt = 0; attempt < 2; attempt += 1) {
    const pendingResponse = server.nextResponse()
    const pendingResult = send(server, { idleTimeoutMs: IDLE_TIMEOUT_MS })
    const response = await pendingResponse
    response.write('part')
    await flushEventLoop()
    if (attempt === 0) response.end()
    else context.mock.timers.tick(IDLE_TIMEOUT_MS)
    assert.equal((await pendingResult).ok, attempt === 0)
  }
})

nodeTest.test('a response over the size limit is a failure', async (context) => {
  const server = await openServer(context)
  const pendingResponse = server.nextResponse()
  const pendingResult = send(server, {}, 10)
  const response = await pendingResponse
  response.end('more than ten bytes')
  const result = await pendingResult
  assert.ok(!result.ok)
  assert.match(result.error.message, /exceeds 10 bytes/)
})

for (const limits of [{ idleTimeoutMs: STALL_MS / 2 }, { timeoutMs: STALL_MS / 2 }]) {
  nodeTest.test(`an answer that arrives in time at a process that stands still until after its limit is received (${Object.keys(limits).join()})`, async (context) => {
    const server = await openServer(context)
    const pendingResponse = server.nextResponse()
    const pendingResult = send(server, limits)
    const response = await pendingResponse
    response.end('whole')
    const endsAt = performance.now() + STALL_MS
    while (performance.now() < endsAt);
    const result = await pendingResult
    assert.equal(result.ok ? result.value.body.toString() : result.error.message, 'whole')
  })
}

nodeTest.test('a request that is no longer wanted when its connection is open is not sent, over a new connection or a kept one', async (context) => {
  const server = await openServer(context)
  let arrived = 0
  const answer = async (): Promise<void> => {
    const response = await server.nextResponse()
    arrived += 1
    response.end()
  }
  void answer()
  const asked: boolean[] = []
  const ask = (isWanted: boolean) => () => {
    asked.push(isWanted)
    return isWanted
  }
  const withdrawn = await send(server, { mayStillSend: ask(false) })
  assert.ok(!withdrawn.ok && withdrawn.error.code === rpc.UNSENT_CODE)
  assert.ok((await send(server, { method: 'POST', body: 'x', mayStillSend: ask(true) })).ok)
  const withdrawnAgain = await send(server, { mayStillSend: ask(false) })
  assert.ok(!withdrawnAgain.ok && withdrawnAgain.error.code === rpc.UNSENT_CODE)
  assert.deepEqual({ arrived, asked }, { arrived: 1, asked: [false, true, false] })
})
