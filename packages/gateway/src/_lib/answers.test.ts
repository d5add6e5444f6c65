/** Guards against responses that are cut, or that look complete although they were cut, because of how they are written. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createHeldBytes from '../createHeldBytes/index.js'
import * as answers from './answers.js'
import type * as callOptions from './callOptions.js'

/** More than the kernel's buffers take for a caller that doesn't read. */
const BIG_BYTES = 16_000_000
const LIMIT = { timeout: 20_000 }
const END_OF_HEAD = '\r\n\r\n'

interface OpenedReply {
  readonly reply: answers.Reply
  readonly response: http.ServerResponse
  /** A caller that reads nothing until it is resumed. */
  readonly caller: net.Socket
  /** The head and what has arrived of the body when the caller's connection has closed. */
  readonly received: Promise<{ readonly head: string, readonly body: Buffer, readonly isReset: boolean }>
}

async function openReply (context: nodeTest.TestContext, request: string, holding: createHeldBytes.CallHolding | null = null): Promise<OpenedReply> {
  const server = http.createServer()
  context.after(() => {
    server.close()
    server.closeAllConnections()
  })
  const responded = new Promise<http.ServerResponse>((resolve) => { server.once('request', (_request, response) => { resolve(response) }) })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const caller = net.connect({ port: (server.address() as net.AddressInfo).port, host: types.LOOPBACK_HOST, allowHalfOpen: true })
  const parts: Buffer[] = []
  let isReset = false
  caller.on('data', (bytes: Buffer) => { parts.push(bytes) })
  caller.on('error', () => { isReset = true })
  caller.on('end', () => { caller.end() })
  const received = new Promise<Awaited<OpenedReply['received']>>((resolve) => {
    caller.on('close', () => {
      const all = Buffer.concat(parts)
      const headEnd = all.indexOf(END_OF_HEAD)
      resolve({ head: all.toString('latin1', 0, headEnd), body: all.subarray(headEnd + END_OF_HEAD.length), isReset })
    })
  })
  caller.pause()
  caller.write(request)
  const response = await responded
  return { reply: answers.createReply(response, 'r', {} as unknown as callOptions.CallProtocol, () => true, holding), response, caller, received }
}

function createHolding (onRead: () => void): { readonly held: createHeldBytes.HeldBytes, readonly holding: createHeldBytes.CallHolding } {
  const held = createHeldBytes.createHeldBytes({ maximumBytes: Infinity, now: () => 0 })
  const holding = held.open(() => {})
  return { held, holding: { ...holding, noteRead: onRead } }
}

function createBody (bytes: number): Buffer {
  return Buffer.alloc(bytes, Uint8Array.from({ length: 251 }, (_, index) => index))
}

const REQUEST = `GET / HTTP/1.1\r\nHost: server${END_OF_HEAD}`

nodeTest.test('the progress of a caller that reads a large response is recorded before its end', LIMIT, async (context) => {
  let reads = 0
  const { held, holding } = createHolding(() => { reads += 1 })
  const { reply, response, caller, received } = await openReply(context, REQUEST, holding)
  const body = createBody(BIG_BYTES)
  reply.sendBuffered(200, [], body)
  assert.equal(held.read(), BIG_BYTES)
  assert.equal(response.writableEnded, true)
  const finished = new Promise((resolve) => { response.once('finish', resolve) })
  caller.resume()
  await finished
  assert.ok(reads > BIG_BYTES / 500_000, String(reads))
  const { head, body: arrived } = await received
  assert.match(head, /Content-Length: 16000000/)
  assert.ok(arrived.equals(body))
  assert.equal(held.read(), 0)
})

nodeTest.test('a caller that shuts down its sending side still gets a response that is complete', LIMIT, async (context) => {
  const { reply, caller, received } = await openReply(context, REQUEST, createHolding(() => {}).holding)
  const body = createBody(BIG_BYTES)
  reply.sendBuffered(200, [], body)
  caller.end()
  await types.delay(100)
  caller.resume()
  assert.ok((await received).body.equals(body))
})

nodeTest.test('after a large response its connection passes on what waits at once again', LIMIT, async (context) => {
  const { reply, response, caller } = await openReply(context, REQUEST, createHolding(() => {}).holding)
  const socket = response.socket as net.Socket
  const { _writev: writeAll } = socket
  reply.sendBuffered(200, [], createBody(BIG_BYTES))
  const closed = new Promise((resolve) => { response.once('close', resolve) })
  caller.resume()
  await closed
  assert.equal(socket._writev, writeAll)
})

const RUN = { resumesAfter: null }
const OLD_REQUEST = `GET / HTTP/1.0${END_OF_HEAD}`
const CHUNKED_EVENT = '5\r\nevent\r\n'

for (const cause of ['the gateway breaks it off', 'its caller shuts down its sending side', 'its response is destroyed'] as const) {
  for (const [name, request] of [['HTTP/1.0', OLD_REQUEST], ['HTTP/1.1', REQUEST]] as const) {
    nodeTest.test(`a stream to a caller of ${name} does not look complete when ${cause}`, LIMIT, async (context) => {
      const { reply, response, caller, received } = await openReply(context, request)
      caller.resume()
      reply.beginStream(RUN, 200, [])
      reply.write(RUN, Buffer.from('event'), null)
      await new Promise((resolve) => { caller.once('data', resolve) })
      if (cause === 'the gateway breaks it off') reply.abort()
      else if (cause === 'its response is destroyed') response.destroy()
      else caller.end()
      const { body, isReset } = await received
      assert.ok(name === 'HTTP/1.0' ? isReset : body.toString() === CHUNKED_EVENT)
    })
  }
}

nodeTest.test('a stream to a caller of HTTP/1.0 ends with its connection when it is complete', LIMIT, async (context) => {
  const { reply, caller, received } = await openReply(context, OLD_REQUEST)
  caller.resume()
  reply.beginStream(RUN, 200, [])
  reply.write(RUN, Buffer.from('event'), null)
  reply.endStream(RUN)
  const { head, body, isReset } = await received
  assert.deepEqual([body.toString(), isReset], ['event', false])
  assert.doesNotMatch(head, /transfer-encoding|content-length/i)
})

nodeTest.test('a stream comes in chunks to a caller of HTTP/1.1', LIMIT, async (context) => {
  const { reply, caller, received } = await openReply(context, REQUEST)
  caller.resume()
  reply.beginStream(RUN, 200, [])
  reply.write(RUN, Buffer.from('event'), null)
  reply.endStream(RUN)
  const { head, body, isReset } = await received
  assert.match(head, /transfer-encoding: chunked/i)
  assert.deepEqual([body.toString(), isReset], [`${CHUNKED_EVENT}0\r\n\r\n`, false])
})

for (const [name, request] of [['HTTP/1.0', OLD_REQUEST], ['HTTP/1.1', REQUEST]] as const) {
  nodeTest.test(`a buffered answer comes with its length to a caller of ${name}`, LIMIT, async (context) => {
    const { reply, caller, received } = await openReply(context, request)
    caller.resume()
    reply.sendBuffered(200, [], Buffer.from('event'))
    const { head, body, isReset } = await received
    assert.match(head, /content-length: 5\r\n/i)
    assert.doesNotMatch(head, /transfer-encoding/i)
    assert.deepEqual([body.toString(), isReset], ['event', false])
  })
}

const EVENT_ID = '3'
/** Runs that follow one whose last event that was passed on has an id, or none, and whether they may be passed on. */
const FOLLOWERS: ReadonlyArray<readonly [string, string | null, answers.Run, boolean]> = [
  ['a run from the beginning', EVENT_ID, { resumesAfter: null }, false],
  ['a run that goes on after the last event', EVENT_ID, { resumesAfter: EVENT_ID }, true],
  ['a run that goes on after an earlier event', EVENT_ID, { resumesAfter: '2' }, false],
  ['a run from the beginning, whose events have no ids', null, { resumesAfter: null }, false],
  ['a run after an event that the caller named, whose events have no ids', null, { resumesAfter: '2' }, false]
]
for (const [name, lastEventId, follower, isContinued] of FOLLOWERS) {
  for (const step of ['head', 'bytes', 'end'] as const) {
    nodeTest.test(`an answer that has begun is ${isContinued ? 'continued' : 'broken off'} by ${name} (${step})`, LIMIT, async (context) => {
      const { reply, caller, received } = await openReply(context, REQUEST)
      caller.resume()
      reply.beginStream(RUN, 200, [])
      reply.write(RUN, Buffer.from('event'), lastEventId)
      assert.equal(reply.mayContinue(), lastEventId !== null)
      assert.equal(reply.mayPassOn(follower), isContinued)
      if (step === 'bytes' || isContinued) reply.write(follower, Buffer.from('other'), null)
      if (step === 'end' || isContinued) reply.endStream(follower)
      if (step === 'head' && !isContinued) reply.beginStream(follower, 200, [])
      const body = (await received).body.toString()
      assert.equal(body.includes('other'), isContinued)
      assert.equal(body.endsWith('0\r\n\r\n'), isContinued)
    })
  }
}
