import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as probeAddress from './index.js'

const HOST = '127.0.0.1'
const TIMEOUT_MS = 2000
const SHORT_TIMEOUT_MS = 20

async function openServer (context: nodeTest.TestContext): Promise<net.Server> {
  const server = net.createServer((socket) => { socket.resume() })
  context.after(() => { server.close() })
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  return server
}

async function closeServer (server: net.Server): Promise<void> {
  await new Promise((resolve) => { server.close(resolve) })
}

/** Stops the event loop, as a pause of the process does. */
function pause (milliseconds: number): void {
  const endsAt = performance.now() + milliseconds
  while (performance.now() < endsAt);
}

nodeTest.test('an address with a listener is taken, and refused once the listener is closed', async (context) => {
  const server = await openServer(context)
  const { port } = server.address() as net.AddressInfo
  assert.equal(await probeAddress.probeAddress({ host: HOST, port }, TIMEOUT_MS), 'taken')
  await closeServer(server)
  assert.equal(await probeAddress.probeAddress({ host: HOST, port }, TIMEOUT_MS), 'refused')
})

/** Guards against an engine that has ended being taken for one that is silent, because the timeout fires before the result of the connection is read. */
nodeTest.test('a pause of the process beyond the timeout does not hide whether a process listens', async (context) => {
  const server = await openServer(context)
  const { port } = server.address() as net.AddressInfo
  assert.equal(await probeDuringPause(port), 'taken')
  await closeServer(server)
  assert.equal(await probeDuringPause(port), 'refused')
})

/** Probes from a callback after which timers run before sockets are read. */
async function probeDuringPause (port: number): Promise<string> {
  await new Promise((resolve) => { setImmediate(resolve) })
  const result = probeAddress.probeAddress({ host: HOST, port }, SHORT_TIMEOUT_MS)
  pause(SHORT_TIMEOUT_MS * 2)
  return await result
}
