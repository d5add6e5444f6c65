import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as watchDelivery from './index.js'

const LIMIT = { timeout: 10_000 }

/** Sends a request, and returns how its response ended. */
async function observe (context: nodeTest.TestContext, handle: http.RequestListener, leave: (socket: net.Socket) => void): Promise<watchDelivery.Delivery> {
  let resolveDelivery: (delivery: watchDelivery.Delivery) => void = () => {}
  const delivery = new Promise<watchDelivery.Delivery>((resolve) => { resolveDelivery = resolve })
  const server = http.createServer((request, response) => {
    watchDelivery.watchDelivery(response, resolveDelivery)
    handle(request, response)
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const socket = net.connect((server.address() as net.AddressInfo).port, types.LOOPBACK_HOST)
  context.after(() => {
    socket.destroy()
    server.close()
  })
  socket.on('error', () => {})
  socket.once('data', () => { leave(socket) })
  socket.write('GET / HTTP/1.1\r\nHost: server\r\n\r\n')
  return await delivery
}

nodeTest.test('a response that was sent whole is delivered', LIMIT, async (context) => {
  assert.equal(await observe(context, (_request, response) => { response.end('whole') }, () => {}), 'delivered')
})

nodeTest.test('a peer that closes or resets its connection within a response has left', LIMIT, async (context) => {
  const begin: http.RequestListener = (_request, response) => { response.write('part') }
  assert.equal(await observe(context, begin, (socket) => { socket.end() }), 'left')
  assert.equal(await observe(context, begin, (socket) => { socket.resetAndDestroy() }), 'left')
})

nodeTest.test('a response that this process breaks off is cut', LIMIT, async (context) => {
  assert.equal(await observe(context, (_request, response) => { response.write('part', () => { response.destroy() }) }, () => {}), 'cut')
})
