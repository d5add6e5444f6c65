import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as stallTesting from '../_lib/stallTesting.js'
import * as probeAddress from './index.js'

const HOST = '127.0.0.1'
const TIMEOUT_MS = 2000
const SHORT_TIMEOUT_MS = 50
const STALL_MS = 200

nodeTest.test('an address with a listener is taken, and refused once the listener is closed', async () => {
  const server = net.createServer((socket) => { socket.resume() })
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  const { port } = server.address() as net.AddressInfo
  assert.equal(await probeAddress.probeAddress({ host: HOST, port }, TIMEOUT_MS), 'taken')
  await new Promise((resolve) => { server.close(resolve) })
  assert.equal(await probeAddress.probeAddress({ host: HOST, port }, TIMEOUT_MS), 'refused')
})

nodeTest.test('the end of a process is recognized by a probe that was answered in time while the prober stalled', async (context) => {
  const server = net.createServer((socket) => { socket.resume() })
  context.after(() => { server.close() })
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  const { port } = server.address() as net.AddressInfo
  const probe = async (): Promise<string> => await (await stallTesting.startBeforeStall(() => ({ result: probeAddress.probeAddress({ host: HOST, port }, SHORT_TIMEOUT_MS) }), STALL_MS)).result
  assert.equal(await probe(), 'taken')
  await new Promise((resolve) => { server.close(resolve) })
  assert.equal(await probe(), 'refused')
})
