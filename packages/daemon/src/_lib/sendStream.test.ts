/** Guards against answers that are passed on chunk by chunk without end, each chunk of one byte, and against sound streams of tokens that are taken for such. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import Koa from 'koa'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as sendStream from './sendStream.js'

const LIMIT = { timeout: 30_000 }
const BAD_GATEWAY = 502
const MAXIMUM_SENT_BYTES = 8 * types.BYTES_IN_MEBIBYTE
const PART_CHUNKS = 10_000

interface Exchange {
  /** Bytes of the body that the caller got, or the error of its request. */
  readonly received: number | string
  readonly isComplete: boolean
  readonly sentBytes: number
}

/** Passes on an answer that consists of chunks of one size, ten thousand in a part; Infinity for parts without end. */
async function passOn (context: nodeTest.TestContext, chunkBytes: number, parts: number): Promise<Exchange> {
  let sentBytes = 0
  const part = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`.repeat(PART_CHUNKS)
  const sockets: net.Socket[] = []
  const engine = net.createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.once('data', () => {
      let sent = 0
      socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
      send()
      socket.on('drain', send)

      function send (): void {
        while (sent < parts && !socket.destroyed) {
          sent += 1
          sentBytes += part.length
          if (sent === parts) socket.write(`${part}0\r\n\r\n`)
          else if (!socket.write(part)) return
        }
      }
    })
  })
  await new Promise<void>((resolve) => { engine.listen(0, types.LOOPBACK_HOST, resolve) })
  const agents = rpc.createHttpAgents()
  const app = new Koa()
  let isComplete = false
  app.use(async (koa) => {
    const opened = await rpc.openRequest(agents, { base: `http://${types.LOOPBACK_HOST}:${(engine.address() as net.AddressInfo).port}`, path: '/', method: 'GET', headers: {} })
    koa.status = opened.ok ? opened.value.statusCode ?? BAD_GATEWAY : BAD_GATEWAY
    if (opened.ok) isComplete = await sendStream.sendStream(koa, opened.value)
  })
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => {
    agents.destroy()
    listener.abort()
    engine.close()
    for (const socket of sockets) socket.destroy()
  })
  const sent = await rpc.sendRequest(agents, { base: rpc.formatBaseUrl(agents, listener.address), path: '/', method: 'GET', headers: {} }, 64 * types.BYTES_IN_MEBIBYTE)
  return { received: sent.ok ? sent.value.body.length : sent.error.message, isComplete, sentBytes }
}

nodeTest.test('a stream in chunks of one byte without end is broken off', LIMIT, async (context) => {
  const { received, isComplete, sentBytes } = await passOn(context, 1, Infinity)
  assert.equal(received, 'aborted')
  assert.equal(isComplete, false)
  assert.ok(sentBytes < MAXIMUM_SENT_BYTES, `${sentBytes} bytes`)
})

for (const chunkBytes of [20, 60]) {
  nodeTest.test(`a stream of 200,000 chunks of ${chunkBytes} bytes is passed on whole`, LIMIT, async (context) => {
    const { received, isComplete } = await passOn(context, chunkBytes, 20)
    assert.equal(received, 20 * PART_CHUNKS * chunkBytes)
    assert.equal(isComplete, true)
  })
}

/** Guards against a queue of small writes to a caller that reads slowly, which takes many times the memory of its bytes. */
nodeTest.test('what a caller has not read waits in few writes, and all of it arrives in order', LIMIT, async (context) => {
  const words = Array.from({ length: 400_000 }, (_, index) => `${index} `.padStart(20, '.'))
  const engine = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
      socket.write(`${words.map((word) => `14\r\n${word}\r\n`).join('')}0\r\n\r\n`)
    })
  })
  await new Promise<void>((resolve) => { engine.listen(0, types.LOOPBACK_HOST, resolve) })
  const agents = rpc.createHttpAgents()
  const app = new Koa()
  let writes = 0
  let isComplete = false
  app.use(async (koa) => {
    const opened = await rpc.openRequest(agents, { base: `http://${types.LOOPBACK_HOST}:${(engine.address() as net.AddressInfo).port}`, path: '/', method: 'GET', headers: {} })
    assert.ok(opened.ok)
    koa.status = 200
    const write = koa.res.write.bind(koa.res) as (bytes: Buffer, callback: () => void) => boolean
    koa.res.write = ((bytes: Buffer, callback: () => void) => {
      writes += 1
      return write(bytes, callback)
    }) as typeof koa.res.write
    isComplete = await sendStream.sendStream(koa, opened.value)
  })
  const listener = await rpc.listenHttp(app.callback(), { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => {
    agents.destroy()
    listener.abort()
    engine.close()
  })
  const response = await rpc.openRequest(agents, { base: rpc.formatBaseUrl(agents, listener.address), path: '/', method: 'GET', headers: {} })
  assert.ok(response.ok)
  response.value.pause()
  await types.delay(300)
  const parts: Buffer[] = []
  for await (const part of response.value) parts.push(part as Buffer)
  assert.ok(Buffer.concat(parts).toString() === words.join(''))
  assert.equal(isComplete, true)
  assert.ok(writes < words.length / 100, `${writes} writes`)
})
