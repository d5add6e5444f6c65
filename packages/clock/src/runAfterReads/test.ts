import * as assert from 'node:assert/strict'
import * as dgram from 'node:dgram'
import * as nodeTest from 'node:test'
import * as runAfterReads from './index.js'

const HOST = '127.0.0.1'
const DATAGRAMS = 100

async function openSocket (context: nodeTest.TestContext): Promise<dgram.Socket> {
  const socket = dgram.createSocket('udp4')
  context.after(() => { socket.close() })
  await new Promise<void>((resolve) => { socket.bind(0, HOST, resolve) })
  return socket
}

nodeTest.test('datagrams that have arrived are read before the action runs', async (context) => {
  const [receiver, sender] = [await openSocket(context), await openSocket(context)]
  let received = 0
  receiver.on('message', () => { received += 1 })
  receiver.connect(sender.address().port, HOST)
  await new Promise((resolve) => { receiver.once('connect', resolve) })
  sender.connect(receiver.address().port, HOST)
  await new Promise((resolve) => { sender.once('connect', resolve) })
  for (let number = 0; number < DATAGRAMS; number += 1) sender.send('datagram')
  await new Promise<void>((resolve) => { runAfterReads.runAfterReads(resolve) })
  assert.equal(received, DATAGRAMS)
})

nodeTest.test('a cancelled action does not run', async () => {
  let hasRun = false
  const cancel = runAfterReads.runAfterReads(() => { hasRun = true })
  await new Promise((resolve) => { setImmediate(resolve) })
  cancel()
  await new Promise<void>((resolve) => { runAfterReads.runAfterReads(resolve) })
  assert.equal(hasRun, false)
})
