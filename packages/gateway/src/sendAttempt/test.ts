import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as stallTesting from '../_lib/stallTesting.js'
import * as sendAttempt from './index.js'

const HOST = '127.0.0.1'
const ATTEMPTS = 300
const PARALLEL = 30
const RESET_AFTER_MS = 3
const CONNECT_TIMEOUT_MS = 50
const STALL_MS = 200
const LONG_STALL_MS = 2000
const UNFRAMED = 'HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nanswe'

/** Starts a back end whose response has no length; `finish` ends its connection. */
async function openBackEnd (context: nodeTest.TestContext, finish: (socket: net.Socket) => void): Promise<types.Address> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(UNFRAMED, () => { finish(socket) }) })
  })
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  context.after(() => { server.close() })
  return { host: HOST, port: (server.address() as net.AddressInfo).port }
}

/** Whether the response to one attempt counts as complete. */
async function isResponseWhole (address: types.Address): Promise<boolean> {
  const attempt = sendAttempt.sendAttempt({ address, method: 'GET', path: '/', headers: ['Host', 'app.example'], body: null, connectTimeoutMs: 5000, onConnect: () => {} })
  const start = await attempt.start
  if (start.kind !== 'answer') return false
  const body = await rpc.readBoundedBody(start.response, Infinity)
  const isWhole = body.kind === 'whole' && start.isWhole()
  attempt.abort()
  return isWhole
}

/** Number of attempts, several at a time, whose response counts as complete. */
async function countWhole (address: types.Address): Promise<number> {
  let left = ATTEMPTS
  let whole = 0
  await Promise.all(Array.from({ length: PARALLEL }, async () => {
    while (left > 0) {
      left -= 1
      if (await isResponseWhole(address)) whole += 1
    }
  }))
  return whole
}

nodeTest.test('a response without a length is never complete after a reset, even if data and reset arrive together', async (context) => {
  const address = await openBackEnd(context, (socket) => { setTimeout(() => { socket.resetAndDestroy() }, RESET_AFTER_MS) })
  assert.equal(await countWhole(address), 0)
})

nodeTest.test('a response without a length is complete if its connection ended orderly', async (context) => {
  const address = await openBackEnd(context, (socket) => { socket.end() })
  assert.equal(await countWhole(address), ATTEMPTS)
})

/** Sends an attempt, stalls the process until its connect timeout is over, and returns the first result. */
async function sendBeforeStall (context: nodeTest.TestContext, stallMs: number, mustSendInTime: boolean): Promise<string> {
  const address = await openBackEnd(context, (socket) => { socket.end() })
  const attempt = await stallTesting.startBeforeStall(() => sendAttempt.sendAttempt({ address, method: 'GET', path: '/', headers: ['Host', 'app.example'], body: null, connectTimeoutMs: CONNECT_TIMEOUT_MS, mustSendInTime, onConnect: () => {} }), stallMs)
  const { kind } = await attempt.start
  attempt.abort()
  return kind
}

nodeTest.test('a call is not refused for a connection that was established in time while the process stalled', async (context) => {
  assert.equal(await sendBeforeStall(context, STALL_MS, false), 'answer')
})

nodeTest.test('nothing is sent after a stall that has outlasted a permit, or after a long one', async (context) => {
  assert.equal(await sendBeforeStall(context, STALL_MS, true), 'not-sent')
  assert.equal(await sendBeforeStall(context, LONG_STALL_MS, false), 'not-sent')
})

nodeTest.test('an attempt counts the bytes and the chunks that have arrived, and says why they are no answer', async (context) => {
  const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
  const cases = [
    { text: `${head}1\r\na\r\n2\r\nbc\r\n0\r\n\r\n`, chunks: 2, violation: null },
    { text: `${head}1\r\na\r\nno length`, chunks: 1, violation: 'no-response' },
    { text: 'no response', chunks: 0, violation: 'no-response' },
    { text: `HTTP/1.1 200 OK\r\nname: ${'x'.repeat(20_000)}`, chunks: 0, violation: 'head-too-large' }
  ]
  for (const { text, chunks, violation } of cases) {
    const server = net.createServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => { socket.write(text) })
    })
    await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
    context.after(() => { server.close() })
    const attempt = sendAttempt.sendAttempt({ address: { host: HOST, port: (server.address() as net.AddressInfo).port }, method: 'GET', path: '/', headers: ['Host', 'app.example'], body: null, connectTimeoutMs: 5000, onConnect: () => {} })
    const start = await attempt.start
    if (start.kind === 'answer') await rpc.readBoundedBody(start.response, Infinity)
    const received = attempt.readReceived?.()
    attempt.abort()
    assert.deepEqual({ chunks: received?.chunks, violation: received?.violation }, { chunks, violation })
    assert.ok((received?.bytes ?? 0) > 0 && (received?.bytes ?? 0) <= text.length)
  }
})

/** Guards against attempts that begin together and each bring a whole read of tiny chunks in one turn of the event loop, and against reads that mix. */
nodeTest.test('a read of an attempt has 8 KiB at most, and the answers of attempts at the same time are whole', { timeout: 20_000 }, async (context) => {
  const words = Array.from({ length: 16 }, (_, index) => `${index}`.padStart(8, 'abcdefgh').repeat(30_000))
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', (bytes: Buffer) => {
      const word = words[Number(/^GET \/(\d+)/.exec(bytes.toString('latin1'))?.[1])] ?? ''
      socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${word.length}\r\n\r\n${word}`)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  context.after(() => { server.close() })
  const reads: number[] = []
  const bodies = await Promise.all(words.map(async (_, index) => {
    const attempt = sendAttempt.sendAttempt({ address: { host: HOST, port: (server.address() as net.AddressInfo).port }, method: 'GET', path: `/${index}`, headers: ['Host', 'app.example'], body: null, connectTimeoutMs: 5000, onConnect: () => {} })
    const start = await attempt.start
    assert.ok(start.kind === 'answer')
    start.response.socket.on('data', (bytes: Buffer) => { reads.push(bytes.length) })
    const body = await rpc.readBoundedBody(start.response, Infinity)
    assert.ok(start.isWhole())
    return body.kind === 'whole' ? body.body.toString() : body.kind
  }))
  assert.deepEqual(bodies.map((body, index) => body === words[index]), words.map(() => true))
  assert.ok(reads.length > 0 && Math.max(...reads) <= 8192, String(Math.max(...reads)))
})
