import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as staging from '../types/index.js'
import * as chooseLayers from './index.js'

const LAYERS = 16

function createAgent (node: string, zone: string): staging.StagingPeer {
  return { node: types.brandId(node), zone, address: { host: node, port: 1 } }
}

nodeTest.test('each data hall of two agents or more holds all layers between them, in whichever order agents are known', () => {
  for (const size of [2, 3, 4, 5, 6, 28]) {
    const agents = ['a', 'b', 'c'].flatMap((zone) => Array.from({ length: size }, (_, index) => createAgent(`${zone}-${index}`, zone)))
    const reversed = [...agents].reverse()
    for (const zone of ['a', 'b', 'c']) {
      const taken = agents.filter((agent) => agent.zone === zone).map((agent) => chooseLayers.chooseLayers(agent, agents, LAYERS))
      assert.deepEqual(taken, agents.filter((agent) => agent.zone === zone).map((agent) => chooseLayers.chooseLayers(agent, reversed, LAYERS)))
      const starts = taken.map((range) => range?.from)
      assert.ok(Math.abs(starts.filter((from) => from === 0).length - starts.filter((from) => from === 8).length) <= 1, `${size}: ${starts.join()}`)
    }
  }
})

nodeTest.test('data halls of one agent share the layers with each other, and one alone takes all', () => {
  const agents = [createAgent('a-0', 'a'), createAgent('b-0', 'b')]
  assert.deepEqual(agents.map((agent) => chooseLayers.chooseLayers(agent, agents, LAYERS)), [{ from: 0, to: 8 }, { from: 8, to: 16 }])
  assert.equal(chooseLayers.chooseLayers(createAgent('a-0', 'a'), [createAgent('a-0', 'a')], LAYERS), null)
  assert.equal(chooseLayers.chooseLayers(agents[0] as staging.StagingPeer, agents, 1), null)
})

nodeTest.test('layers need every piece that has bytes of them', () => {
  assert.deepEqual(chooseLayers.listPieces({ from: 0, to: 1 }, 16, 64), [0, 1, 2, 3])
  assert.deepEqual(chooseLayers.listPieces({ from: 1, to: 2 }, 4, 6), [1, 2])
  assert.deepEqual(chooseLayers.listPieces({ from: 2, to: 4 }, 4, 6), [3, 4, 5])
  assert.equal(chooseLayers.listPieces({ from: 0, to: 16 }, 16, 64).length, 64)
})
