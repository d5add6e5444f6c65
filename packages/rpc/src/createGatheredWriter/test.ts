/** Guards against a queue of small writes that takes many times the memory of its bytes. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createGatheredWriter from './index.js'

const LIMIT = { timeout: 20_000 }
const REQUEST = 'GET / HTTP/1.1\r\nHost: server\r\nConnection: close\r\n\r\n'

interface OpenedWriter {
  readonly writer: createGatheredWriter.GatheredWriter
  readonly response: http.ServerResponse
  /** Reads nothing until it is resumed. */
  readonly caller: net.Socket
  /** All that has arrived when the connection has closed. */
  readonly received: Promise<string>
  /** Number of writes to the response. */
  readonly writes: () => number
}

async function openWriter (context: nodeTest.TestContext): Promise<OpenedWriter> {
  const server = http.createServer()
  context.after(() => {
    server.close()
    server.closeAllConnections()
  })
  const responded = new Promise<http.ServerResponse>((resolve) => { server.once('request', (_request, response) => { resolve(response) }) })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const caller = net.connect({ port: (server.address() as net.AddressInfo).port, host: types.LOOPBACK_HOST })
  let text = ''
  caller.on('data', (bytes: Buffer) => { text += bytes.toString('latin1') })
  caller.on('error', () => {})
  const received = new Promise<string>((resolve) => { caller.on('close', () => { resolve(text) }) })
  caller.pause()
  caller.write(REQUEST)
  const response = await responded
  response.sendDate = false
  response.writeHead(200)
  let writes = 0
  const write = response.write.bind(response) as (bytes: Buffer, callback: () => void) => boolean
  response.write = ((bytes: Buffer, callback: () => void) => {
    writes += 1
    return write(bytes, callback)
  }) as typeof response.write
  return { writer: createGatheredWriter.createGatheredWriter(response), response, caller, received, writes: () => writes }
}

nodeTest.test('parts of one turn make two writes, the first of them at once, and arrive in order', LIMIT, async (context) => {
  const { writer, caller, received, writes } = await openWriter(context)
  caller.resume()
  assert.equal(writer.write(Buffer.from('0 ')), true)
  assert.equal(writes(), 1)
  for (let index = 1; index < 1000; index += 1) writer.write(Buffer.from(`${index} `))
  await types.delay(20)
  assert.equal(writes(), 2)
  writer.write(Buffer.from('last '))
  assert.equal(writes(), 3)
  writer.write(Buffer.from('end'))
  writer.end()
  const body = (await received).split('\r\n\r\n').slice(1).join('\r\n\r\n')
  const text = body.split('\r\n').filter((_, index) => index % 2 === 1).join('')
  assert.equal(text, `${Array.from({ length: 1000 }, (_, index) => `${index} `).join('')}last end`)
  assert.ok(body.endsWith('0\r\n\r\n'))
})

nodeTest.test('a caller that does not read holds one write and what is gathered, and the rest is asked for once it has read', LIMIT, async (context) => {
  const { writer, caller, response, writes } = await openWriter(context)
  const part = Buffer.alloc(10, 'x')
  let written = 0
  let resumed = 0
  const drained = new Promise<void>((resolve) => {
    writer.onDrain(() => {
      resumed += 1
      resolve()
    })
  })
  // More than the kernel's buffers take.
  const first = Buffer.alloc(16_000_000, 'x')
  assert.equal(writer.write(first), false)
  await types.delay(50)
  const before = writes()
  while (written < 100_000) {
    written += part.length
    assert.equal(writer.write(part), false)
  }
  assert.equal(writes(), before)
  assert.ok(writer.waitingBytes() - response.writableLength <= 2 * written)
  assert.equal(resumed, 0)
  caller.resume()
  await drained
  assert.equal(writes(), before + 1)
  assert.equal(writer.write(part), true)
  await types.delay(20)
  assert.equal(resumed, 1)
  assert.equal(writer.waitingBytes(), 0)
})

nodeTest.test('nothing is written to a response that was destroyed', LIMIT, async (context) => {
  const { writer, response, writes } = await openWriter(context)
  writer.write(Buffer.from('a'))
  writer.write(Buffer.from('b'))
  response.destroy()
  assert.equal(writer.write(Buffer.from('c')), true)
  await types.delay(20)
  assert.equal(writes(), 1)
  assert.equal(writer.waitingBytes(), 0)
})
