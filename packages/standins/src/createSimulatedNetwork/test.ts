import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createSimulatedNetwork from './index.js'

const HOSTS = ['a', 'b', 'c'].map((host) => ({ host, region: host === 'c' ? 'west' : 'east', bytesPerMs: 100 }))

function createNetwork (context: nodeTest.TestContext): createSimulatedNetwork.SimulatedNetwork {
  context.mock.timers.enable({ apis: ['setTimeout', 'Date'] })
  return createSimulatedNetwork.createSimulatedNetwork({ hosts: HOSTS, interRegionBytesPerMs: 50, intraRegionDelayMs: 1, interRegionDelayMs: 3, now: Date.now })
}

async function advance (context: nodeTest.TestContext, milliseconds: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += 1) {
    context.mock.timers.tick(1)
    await new Promise((resolve) => { setImmediate(resolve) })
  }
}

nodeTest.test('two streams share a link, and the inter-region link limits a stream between regions', async (context) => {
  const network = createNetwork(context)
  const doneAt: number[] = []
  for (const to of ['b', 'c']) void network.sendStream('a', to, 100_000).then(() => { doneAt.push(Date.now()) })
  await advance(context, 3000)
  assert.equal(doneAt.length, 2)
  const [first, last] = doneAt as [number, number]
  assert.ok(first >= 1400, `${first} ms for 100 kB over a link of 100 kB/s that another stream shares`)
  assert.ok(last >= 2000 && last <= 2700, `${last} ms for 100 kB over an inter-region link of 50 kB/s; the two host links on the path may add delay`)
  assert.equal(network.counts.interRegionBytes, 100_000)
})

nodeTest.test('a full link drops datagrams, and a disconnected host receives none', async (context) => {
  const network = createNetwork(context)
  const receivedDatagrams: string[] = []
  network.openDatagrams('b', (bytes, from) => { receivedDatagrams.push(`${from}: ${bytes.toString()}`) })
  const socket = network.openDatagrams('a', () => {})
  socket.send('b', Buffer.from('first'))
  await advance(context, 5)
  network.disconnectHost('b')
  socket.send('b', Buffer.from('second'))
  await advance(context, 5)
  network.reconnectHost('b')
  for (let sent = 0; sent < 20; sent += 1) socket.send('b', Buffer.alloc(2000))
  await advance(context, 1000)
  assert.equal(receivedDatagrams[0], 'a: first')
  assert.ok(!receivedDatagrams.includes('a: second'))
  assert.ok(network.counts.droppedDatagrams > 0)
})
