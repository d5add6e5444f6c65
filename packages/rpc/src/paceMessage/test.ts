import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as timers from 'node:timers/promises'
import * as types from '@switchridge/types'
import * as endlessServer from '../_lib/endlessServer.js'
import * as paceMessage from './index.js'

const CHUNK = '1\r\nx\r\n'
/** Chunks in one read of a socket, of 64 KiB. */
const READ_CHUNKS = Math.ceil(64 * types.BYTES_IN_KIBIBYTE / CHUNK.length)
const TURNS = 60
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

async function openResponse (base: string): Promise<http.IncomingMessage> {
  const response = await new Promise<http.IncomingMessage>((resolve) => { http.get(base, { agent: false }, resolve) })
  response.on('error', () => {})
  return response
}

async function waitForData (message: http.IncomingMessage): Promise<void> {
  await new Promise((resolve) => { message.once('data', resolve) })
}

async function waitFor (isReached: () => boolean): Promise<void> {
  while (!isReached()) await timers.setImmediate()
}

/** Counts the chunks of all messages in each turn of the event loop. */
async function countChunksByTurn (messages: readonly http.IncomingMessage[], turns: number): Promise<number[]> {
  let chunks = 0
  for (const message of messages) message.on('data', () => { chunks += 1 })
  const counts: number[] = []
  for (let turn = 0; turn < turns; turn += 1) {
    await timers.setImmediate()
    counts.push(chunks)
    chunks = 0
  }
  return counts
}

/** Guards against one peer whose chunks of one byte keep the event loop busy. */
nodeTest.test('a body of small chunks without end brings one read in a turn', async (context) => {
  const server = await endlessServer.openEndlessServer(context, CHUNK.repeat(20_000), CHUNKED_HEAD)
  const response = await openResponse(server.base)
  paceMessage.paceMessage(response)
  await waitForData(response)
  const counts = await countChunksByTurn([response], TURNS)
  response.destroy()
  assert.ok(Math.max(...counts) <= READ_CHUNKS, counts.join(' '))
  assert.ok(counts.filter((count) => count > 0).length > TURNS / 2, counts.join(' '))
})

/** Guards against peers that together keep the event loop busy, each within its own bound. */
nodeTest.test('many bodies of small chunks without end are read in turn', async (context) => {
  const server = await endlessServer.openEndlessServer(context, CHUNK.repeat(20_000), CHUNKED_HEAD)
  const responses = await Promise.all(Array.from({ length: 16 }, async () => await openResponse(server.base)))
  const chunks = responses.map(() => 0)
  for (const [index, response] of responses.entries()) {
    paceMessage.paceMessage(response)
    response.on('data', () => { chunks[index] = (chunks[index] ?? 0) + 1 })
  }
  await Promise.all(responses.map(waitForData))
  const counts = await countChunksByTurn(responses, TURNS * 2)
  for (const response of responses) response.destroy()
  // The first read of each is not paced yet.
  assert.ok(Math.max(...counts.slice(TURNS / 2)) <= READ_CHUNKS, counts.join(' '))
  assert.ok(Math.max(...chunks) - Math.min(...chunks) <= READ_CHUNKS * 3, chunks.join(' '))
})

nodeTest.test('all of a paced body arrives, in order, while its consumer holds and releases it', async (context) => {
  const text = Array.from({ length: 40_000 }, (_, index) => `${index} `).join('')
  const server = http.createServer((_, response) => {
    for (const word of text.split(/(?<= )/)) response.write(word)
    response.end()
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  context.after(() => { server.close() })
  const response = await openResponse(`http://${types.LOOPBACK_HOST}:${(server.address() as net.AddressInfo).port}`)
  const pacer = paceMessage.paceMessage(response)
  let received = ''
  let holds = 0
  let heldLength = 0
  response.on('data', (bytes: Buffer) => {
    received += bytes.toString()
    if (holds >= 5 || received.length < heldLength + 10_000) return
    holds += 1
    heldLength = received.length
    pacer.hold()
    setTimeout(pacer.release, 5)
  })
  await new Promise((resolve) => { response.once('end', resolve) })
  assert.equal(received, text)
  assert.equal(holds, 5)
})

/** Guards against a consumer that holds a message back and is given more and more of it. */
nodeTest.test('a held body brings no more than what had been read, and goes on after its release', async (context) => {
  const server = await endlessServer.openEndlessServer(context, CHUNK.repeat(20_000), CHUNKED_HEAD)
  const response = await openResponse(server.base)
  const pacer = paceMessage.paceMessage(response)
  await waitForData(response)
  pacer.hold()
  const held = await countChunksByTurn([response], TURNS)
  assert.ok(held.reduce((sum, count) => sum + count) <= READ_CHUNKS, held.join(' '))
  assert.ok(response.socket.readableLength <= 128 * types.BYTES_IN_KIBIBYTE)
  pacer.release()
  const released = await countChunksByTurn([response], TURNS)
  response.destroy()
  assert.ok(released.reduce((sum, count) => sum + count) > READ_CHUNKS * 5, released.join(' '))
})

nodeTest.test('the body of a request is paced and held, and its connection serves the next request', async (context) => {
  const bodyBytes = 100_000
  const received: number[] = []
  let pacer: paceMessage.MessagePacer | null = null
  let chunks = 0
  const server = http.createServer((request, response) => {
    const own = paceMessage.paceMessage(request)
    pacer = own
    let bytes = 0
    request.on('data', (part: Buffer) => {
      chunks += 1
      if (bytes < 10_000 && bytes + part.length >= 10_000) own.hold()
      bytes += part.length
    })
    request.on('end', () => {
      received.push(bytes)
      response.end('ok')
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const socket = net.connect((server.address() as net.AddressInfo).port, types.LOOPBACK_HOST)
  context.after(() => {
    socket.destroy()
    server.close()
  })
  const request = `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNK.repeat(bodyBytes)}0\r\n\r\n`
  for (let count = 1; count <= 2; count += 1) {
    chunks = 0
    socket.write(request)
    await waitFor(() => chunks >= 10_000)
    for (let turn = 0; turn < TURNS; turn += 1) await timers.setImmediate()
    assert.ok(chunks <= 10_000 + READ_CHUNKS, String(chunks))
    assert.equal(received.length, count - 1)
    ;(pacer as paceMessage.MessagePacer | null)?.release()
    await waitFor(() => received.length >= count)
  }
  assert.deepEqual(received, [bodyBytes, bodyBytes])
})
