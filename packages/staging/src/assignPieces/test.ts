import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as assignPieces from './index.js'
import type * as staging from '../types/index.js'

const PIECES = 96

function createAgents (zones: Readonly<Record<string, number>>): staging.StagingPeer[] {
  return Object.entries(zones).flatMap(([zone, count]) => Array.from({ length: count }, (_, index) => ({
    node: types.brandId<types.NodeId>(`${zone}-${index}`), zone, address: { host: '127.0.0.1', port: 1 }
  })))
}

nodeTest.test('every piece has one reader, one importer in each other zone, and a provider that obtains it', () => {
  const agents = createAgents({ a: 6, b: 4, c: 5 })
  const plans = new Map(agents.map((agent) => [agent.node, assignPieces.assignPieces('m/2', PIECES, agent, agents)]))
  for (let piece = 0; piece < PIECES; piece += 1) {
    const parts = agents.map((agent) => ({ agent, plan: plans.get(agent.node)?.[piece] }))
    assert.equal(parts.filter(({ plan }) => plan?.part === 'reader').length, 1)
    assert.equal(parts.filter(({ plan }) => plan?.part === 'importer').length, 2)
    for (const { agent, plan } of parts) {
      if (plan?.part !== 'member') continue
      assert.equal(plan.provider?.zone, agent.zone)
      assert.notEqual(plans.get(plan.provider?.node as types.NodeId)?.[piece]?.part, 'member')
    }
  }
})

nodeTest.test('no agent provides many more pieces than another', () => {
  const agents = createAgents({ a: 5, b: 5, c: 5 })
  for (const agent of agents) {
    const plan = assignPieces.assignPieces('m/3', PIECES, agent, agents)
    const reads = plan.filter(({ part }) => part === 'reader').length
    const provides = plan.filter(({ part }) => part !== 'member').length
    assert.ok(reads <= 7, `${agent.node} reads ${reads}`)
    assert.ok(provides <= 20, `${agent.node} provides ${provides} in its zone`)
  }
})

nodeTest.test('a single agent reads every piece', () => {
  const [agent] = createAgents({ a: 1 })
  const plan = assignPieces.assignPieces('m/1', PIECES, agent as staging.StagingPeer, [agent as staging.StagingPeer])
  assert.ok(plan.every(({ part }) => part === 'reader'))
})

nodeTest.test('few agents of a large fleet read from the origin, and none provides many more pieces than another', () => {
  const agents = createAgents({ a: 30, b: 28, c: 27 })
  const plans = agents.map((agent) => assignPieces.assignPieces('m/4', PIECES, agent, agents))
  assert.ok(plans.filter((plan) => plan.some(({ part }) => part === 'reader')).length <= assignPieces.MAXIMUM_READERS)
  for (const plan of plans) assert.ok(plan.filter(({ part }) => part !== 'member').length <= 8)
})

nodeTest.test('zones that have not discovered each other yet read one copy together, and no piece is read again once they have', () => {
  const agents = createAgents({ a: 6, b: 15, c: 5 })
  const zones = ['a', 'b', 'c']
  const readerByPiece = new Map<number, string>()
  for (const agent of agents) {
    const known = agents.filter((each) => each.zone === agent.zone)
    const plan = assignPieces.assignPieces('m/5', PIECES, agent, known, zones)
    plan.forEach(({ part }, piece) => {
      if (part !== 'reader') return
      assert.equal(readerByPiece.has(piece), false)
      readerByPiece.set(piece, agent.node)
    })
    assert.ok(plan.every(({ part, provider }) => provider !== null || part !== 'member'))
  }
  assert.equal(readerByPiece.size, PIECES)
  for (const agent of agents) {
    const plan = assignPieces.assignPieces('m/5', PIECES, agent, agents, zones)
    plan.forEach(({ part }, piece) => { if (part === 'reader') assert.equal(readerByPiece.get(piece), agent.node) })
  }
})

nodeTest.test('a zone that is not expected and has no known agents is assigned no reads', () => {
  const agents = createAgents({ a: 4, b: 4 })
  const read = agents.flatMap((agent) => assignPieces.assignPieces('m/6', PIECES, agent, agents)).filter(({ part }) => part === 'reader')
  assert.equal(read.length, PIECES)
})
