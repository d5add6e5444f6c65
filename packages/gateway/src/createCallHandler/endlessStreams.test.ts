/** Guards against streams that are no answers and look whole to their callers, and against engines that are called again and again although they send such streams. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import type * as observability from '@switchridge/observability'
import * as types from '@switchridge/types'
import * as handlerTesting from '../_lib/handlerTesting.js'
import * as createCallerServer from '../createCallerServer/index.js'
import * as sendAttempt from '../sendAttempt/index.js'
import type * as createCallHandlerTypes from './index.js'
import * as createCallHandler from './index.js'

const HOST = '127.0.0.66'
const PORT = 18_466
const LIMIT = { timeout: 20_000 }
const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
const END = '0\r\n\r\n'
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'

/** Starts an engine that answers each request with a text at once. */
async function startEngine (context: nodeTest.TestContext, text: string): Promise<types.Address> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(text) })
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  context.after(() => { server.close() })
  return { host: types.LOOPBACK_HOST, port: (server.address() as net.AddressInfo).port }
}

interface Served {
  /** All that the caller got before its connection was closed. */
  readonly text: string
  readonly reasons: readonly unknown[]
}

async function serveCall (context: nodeTest.TestContext, engineText: string, overrides: Partial<createCallHandlerTypes.CallHandlerOptions> = {}): Promise<Served> {
  const engine = await startEngine(context, engineText)
  const reasons: unknown[] = []
  const log = (event: string, fields: observability.LogFields = {}): void => { if (event === 'answer-given-up') reasons.push(fields.reason) }
  const options = handlerTesting.createHandlerOptions({ kind: 'stream', isResumable: false }, {
    now: () => performance.now(),
    sendAttempt: (request) => sendAttempt.sendAttempt({ ...request, address: engine }),
    logger: { debug: () => {}, info: () => {}, error: () => {}, warn: log },
    ...overrides
  })
  const server = createCallerServer.createCallerServer(createCallHandler.createCallHandler(options))
  const address = { host: HOST, port: PORT }
  await server.listen(address)
  context.after(server.close)
  const socket = net.connect(address)
  let text = ''
  socket.on('error', () => {})
  socket.on('data', (bytes: Buffer) => { text += bytes.toString('latin1') })
  socket.write(REQUEST)
  await new Promise((resolve) => { socket.once('close', resolve) })
  return { text, reasons }
}

// The last read of the stream holds its end, and for some of them what exceeds the bound, too.
for (const chunks of [36_000, 38_000, 40_000, 42_000, 60_000]) {
  nodeTest.test(`a stream of ${chunks} chunks of one byte looks whole only if it is not given up`, LIMIT, async (context) => {
    const { text, reasons } = await serveCall(context, `${HEAD}${'1\r\nx\r\n'.repeat(chunks)}${END}`)
    assert.equal(text.endsWith(END), reasons.length === 0)
    if (chunks === 60_000) assert.deepEqual(reasons, ['framing-too-large'])
  })
}

for (const stepMs of [20, null]) {
  nodeTest.test(`a stream of 20,000 events at once is ${stepMs === null ? 'passed on if the speed of its engine is unknown' : 'given up if its engine needs 20 ms for a token'}`, LIMIT, async (context) => {
    const { routes } = handlerTesting.createHandlerOptions({ kind: 'stream', isResumable: false }, { now: () => 0, sendAttempt: sendAttempt.sendAttempt })
    const engine = { slots: 4, models: [], layers: 1, chunks: 1, chunkBytes: 1, stepMs, stepMsPerSequence: 0, prefillTokensPerMs: null, usualPromptTokens: null, usualAnswerTokens: null }
    const table = { ...routes(), findService: () => ({ engine }) } as unknown as ReturnType<typeof routes>
    const { text, reasons } = await serveCall(context, `${HEAD}${`14\r\ndata: ${'x'.repeat(12)}\n\n\r\n`.repeat(20_000)}${END}`, { routes: () => table })
    assert.deepEqual(reasons, stepMs === null ? [] : ['stream-too-fast'])
    assert.equal(text.endsWith(END), stepMs === null)
  })
}

nodeTest.test('a stream of 50,000 chunks of 20 bytes is passed on whole', LIMIT, async (context) => {
  const { text, reasons } = await serveCall(context, `${HEAD}${`14\r\n${'x'.repeat(20)}\r\n`.repeat(50_000)}${END}`)
  assert.deepEqual(reasons, [])
  assert.ok(text.endsWith(END))
})
