/** Guards against a response without framing that looks whole although its connection was reset. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as watchOrderlyEnd from './index.js'

/** Connects to a server that sends some bytes and then ends the connection; returns whether that was seen as orderly. */
async function readEnd (context: nodeTest.TestContext, end: (socket: net.Socket) => void): Promise<boolean> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.write('bytes', () => { end(socket) })
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  context.after(() => { server.close() })
  const socket = net.connect((server.address() as net.AddressInfo).port, types.LOOPBACK_HOST)
  const isOrderly = watchOrderlyEnd.watchOrderlyEnd(socket)
  socket.on('error', () => {})
  socket.resume()
  assert.equal(isOrderly(), false)
  await new Promise((resolve) => { socket.once('close', resolve) })
  return isOrderly()
}

nodeTest.test('an orderly end of a connection is one', async (context) => {
  assert.equal(await readEnd(context, (socket) => { socket.end() }), true)
})

nodeTest.test('a reset is no orderly end, also when it arrives together with data', async (context) => {
  assert.equal(await readEnd(context, (socket) => { socket.resetAndDestroy() }), false)
  assert.equal(await readEnd(context, (socket) => { setTimeout(() => { socket.resetAndDestroy() }, 20) }), false)
})
