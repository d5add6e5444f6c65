/** Guards against engines that can't be found from the log after a gateway has given up their answers. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import type * as observability from '@switchridge/observability'
import * as types from '@switchridge/types'
import * as handlerTesting from '../_lib/handlerTesting.js'
import * as createAnswerBuffers from '../createAnswerBuffers/index.js'
import * as createCallerServer from '../createCallerServer/index.js'
import * as sendAttempt from '../sendAttempt/index.js'
import * as createCallHandler from './index.js'

const HOST = '127.0.0.62'
const LIMIT = { timeout: 20_000 }
const PART = 'x'.repeat(65_536)
const CHUNK = `10000\r\n${PART}\r\n`
const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
const MEBIBYTE = 1024 * 1024

interface GivenUpCase {
  readonly name: string
  readonly kind: 'stream' | 'once'
  readonly begin: string
  readonly part: string
  readonly reason: string
  readonly memoryBytes?: number
}

const CASES: readonly GivenUpCase[] = [
  { name: 'a body that is too large', kind: 'once', begin: HEAD, part: CHUNK, reason: 'answer-too-large' },
  { name: 'a body for which there is no memory', kind: 'once', begin: HEAD, part: CHUNK, reason: 'no-memory', memoryBytes: MEBIBYTE },
  { name: 'an event that is too large', kind: 'stream', begin: `${HEAD}d\r\nid: 1\ndata: x\r\n`, part: CHUNK, reason: 'event-too-large' },
  { name: 'a head that is too large', kind: 'once', begin: 'HTTP/1.1 200 OK\r\n', part: 'name: value\r\n'.repeat(1000), reason: 'head-too-large' },
  { name: 'bytes that are no response', kind: 'once', begin: '', part: PART, reason: 'no-response' },
  { name: 'framing that breaks', kind: 'once', begin: `${HEAD}1\r\nx\r\n`, part: PART, reason: 'no-response' }
]

/** Starts an engine that sends a part over and over. */
async function startEngine (context: nodeTest.TestContext, begin: string, part: string): Promise<types.Address> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write(begin)
      const send = (): void => { while (!socket.destroyed && socket.write(part)); }
      socket.on('drain', send)
      send()
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  context.after(() => { server.close() })
  return { host: types.LOOPBACK_HOST, port: (server.address() as net.AddressInfo).port }
}

for (const { name, kind, begin, part, reason, memoryBytes = Infinity } of CASES) {
  nodeTest.test(`an answer that is given up is logged with its engine, its bytes and its chunks, and counted: ${name}`, LIMIT, async (context) => {
    const engine = await startEngine(context, begin, part)
    const logged: observability.LogFields[] = []
    const counted: unknown[] = []
    const options = handlerTesting.createHandlerOptions({ kind, isResumable: kind === 'stream' }, {
      now: () => performance.now(),
      answerBuffers: createAnswerBuffers.createAnswerBuffers(memoryBytes),
      sendAttempt: (request) => sendAttempt.sendAttempt({ ...request, address: engine }),
      count: (counter, labels) => { if (counter === 'answers_given_up') counted.push(labels) },
      logger: { debug: () => {}, info: () => {}, error: () => {}, warn: (event, fields = {}) => { if (event === 'answer-given-up') logged.push(fields) } }
    })
    const readAnswer: typeof options.protocol.readAnswer = () => ({ kind: 'answered', status: 200, headers: [], isStream: kind === 'stream', version: null })
    const handler = createCallHandler.createCallHandler({ ...options, protocol: { ...options.protocol, readAnswer } })
    const server = createCallerServer.createCallerServer(handler)
    const address = { host: HOST, port: 18_462 }
    await server.listen(address)
    context.after(server.close)
    const socket = net.connect(address)
    socket.on('error', () => {})
    socket.resume()
    socket.write('GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
    await new Promise((resolve) => { socket.once('close', resolve) })
    const [fields] = logged
    assert.deepEqual(counted[0], { reason })
    assert.deepEqual({ id: fields?.id, backEnd: fields?.backEnd, reason: fields?.reason }, { id: 'r', backEnd: 'i-1', reason })
    assert.ok(Number(fields?.bytes) > 0)
    assert.ok(Number(fields?.chunks) >= (begin.startsWith(HEAD) ? 1 : 0))
  })
}
