import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as createEngineOrders from './index.js'

const GENERATION = 3
const MANIFEST = types.brandId<types.Digest>('a'.repeat(64))

interface OpenedEngine {
  readonly agents: rpc.HttpAgents
  readonly url: string
  readonly ordersTaken: () => number
}

async function openEngine (context: nodeTest.TestContext): Promise<OpenedEngine> {
  let ordersTaken = 0
  const server = http.createServer((request, response) => {
    ordersTaken += 1
    request.resume()
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify({ fileDigest: null }))
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    server.close()
  })
  return { agents, url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`, ordersTaken: () => ordersTaken }
}

/** Creates the orders of a daemon whose lease lapses while the connection to its engine is made. */
function createOrders ({ agents, url }: OpenedEngine, checksFences: boolean): createEngineOrders.EngineOrders {
  let isHeld = true
  const connecting = agents.http as unknown as { createConnection: (...connection: readonly unknown[]) => net.Socket }
  const connect = connecting.createConnection
  connecting.createConnection = (...connection) => {
    isHeld = false
    return connect(...connection)
  }
  const lease = { acquire: async () => types.succeed(GENERATION), currentGeneration: () => isHeld ? GENERATION : null, release: async () => {} }
  return createEngineOrders.createEngineOrders({ url, checksFences, lease, agents })
}

nodeTest.test('an engine that checks no fences gets no order from a daemon whose lease lapsed while the connection was made', async (context) => {
  const engine = await openEngine(context)
  const unloaded = await createOrders(engine, false).unload(MANIFEST)
  assert.deepEqual({ isOrdered: unloaded.ok, taken: engine.ordersTaken() }, { isOrdered: false, taken: 0 })
})

nodeTest.test('an engine that checks fences gets the order all the same, since it refuses outdated ones itself', async (context) => {
  const engine = await openEngine(context)
  const unloaded = await createOrders(engine, true).unload(MANIFEST)
  assert.deepEqual({ isOrdered: unloaded.ok, taken: engine.ordersTaken() }, { isOrdered: true, taken: 1 })
})
