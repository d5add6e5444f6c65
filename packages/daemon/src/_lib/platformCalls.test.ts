import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as rpc from '@switchridge/rpc'

nodeTest.test('reads of the origin leave no connection open, since it counts them toward its bound', async (context) => {
  const origin = await testing.createOriginStandIn(4)
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    origin.close()
  })
  const reader = platform.createWeightOrigin(() => origin.address, agents, () => {})
  const id = { model: 'm', version: 1 }
  assert.ok((await reader.readManifest(id)).ok)
  for (const piece of [0, 1, 2]) assert.ok((await reader.readPiece(id, piece)).ok)
  const kept = Object.values(agents.http.freeSockets).flat().length
  assert.equal(kept, 0)
})

nodeTest.test('an order says whether running calls are finished or broken off, and which count of orders it expects', async (context) => {
  const engine = await testing.createEngineStandIn({ id: 'i-1', model: 'm', version: 1 })
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    engine.close()
  })
  const control = platform.createEngineControl(engine.address, agents)
  assert.equal(await control.start({ model: 'm', version: 2 }, 0, 'break-off'), 'begun')
  assert.equal(await control.start({ model: 'm', version: 3 }, 0, 'finish'), 'refused')
  assert.equal(await control.start({ model: 'm', version: 3 }, 1, 'finish'), 'begun')
  assert.deepEqual(engine.orderMethods, ['truncate', 'queue'])
})
