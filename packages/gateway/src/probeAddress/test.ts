import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as probeAddress from './index.js'

const HOST = '127.0.0.1'
const TIMEOUT_MS = 2000

nodeTest.test('an address with a listener is taken, and refused once the listener is closed', async () => {
  const server = net.createServer((socket) => { socket.resume() })
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  const { port } = server.address() as net.AddressInfo
  assert.equal(await probeAddress.probeAddress({ host: HOST, port }, TIMEOUT_MS), 'taken')
  await new Promise((resolve) => { server.close(resolve) })
  assert.equal(await probeAddress.probeAddress({ host: HOST, port }, TIMEOUT_MS), 'refused')
})
