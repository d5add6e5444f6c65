import * as assert from 'node:assert/strict'
import * as dgram from 'node:dgram'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as openDatagrams from '../openDatagrams/index.js'
import * as createGossip from './index.js'

const SEED_HOST = '127.0.0.2'
const OWN_HOST = '127.0.0.3'
const TICK_MS = 125
const TICKS = 8

function describe (): createGossip.Heartbeat {
  return { node: types.brandId('node-a'), role: 'agent', zone: 'zone-a', host: OWN_HOST, isLeaving: false, isStoreLost: false, copies: {}, versions: [], suspects: [], engine: null }
}

/** Opens a seed that counts received datagrams and never answers. */
async function openSeed (context: nodeTest.TestContext): Promise<{ port: number, count: () => number }> {
  const socket = dgram.createSocket('udp4')
  let count = 0
  socket.on('message', () => { count += 1 })
  await new Promise<void>((resolve) => { socket.bind(0, SEED_HOST, resolve) })
  context.after(() => { socket.close() })
  return { port: socket.address().port, count: () => count }
}

nodeTest.test('a daemon that knows no other one contacts its seeds at every tick, so that it finds them soon after they start', async (context) => {
  const seed = await openSeed(context)
  context.mock.timers.enable({ apis: ['setInterval', 'Date'] })
  const gossip = await createGossip.createGossip({
    clock: { isUncertain: () => false, recordPeerOffset: () => {} },
    host: OWN_HOST,
    incarnation: types.brandId('run-1'),
    openDatagrams: openDatagrams.openDatagrams(OWN_HOST, seed.port),
    seeds: [SEED_HOST],
    describeSelf: describe,
    onHeartbeat: () => {},
    now: Date.now
  })
  context.after(gossip.stop)
  for (let tick = 0; tick < TICKS; tick += 1) {
    const before = seed.count()
    context.mock.timers.tick(TICK_MS)
    while (seed.count() === before) await new Promise((resolve) => { setImmediate(resolve) })
  }
  assert.ok(seed.count() >= TICKS)
})
