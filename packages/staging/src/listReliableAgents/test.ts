import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as staging from '../types/index.js'
import * as listReliableAgents from './index.js'

function createAgents (count: number): staging.StagingPeer[] {
  return Array.from({ length: count }, (_, index) => ({ node: types.brandId<types.NodeId>(`n-${index}`), zone: 'a', address: { host: '127.0.0.1', port: 1 } }))
}

function namesOf (agents: readonly staging.StagingPeer[]): string[] {
  return agents.map((agent) => agent.node)
}

nodeTest.test('an agent that a single other one suspects stays, however often that one reports it, and one that enough agents suspect is left out', () => {
  const [self, ...others] = createAgents(4) as [staging.StagingPeer, ...staging.StagingPeer[]]
  assert.deepEqual(namesOf(listReliableAgents.listReliableAgents(self, others, [['n-1', 'n-1'], []])), ['n-0', 'n-1', 'n-2', 'n-3'])
  assert.deepEqual(namesOf(listReliableAgents.listReliableAgents(self, others, [['n-1'], ['n-1', 'n-2']])), ['n-0', 'n-2', 'n-3'])
})

nodeTest.test('an agent that was voted out lists itself only when no other agent is left', () => {
  const [self, ...others] = createAgents(3) as [staging.StagingPeer, ...staging.StagingPeer[]]
  assert.deepEqual(namesOf(listReliableAgents.listReliableAgents(self, others, [['n-0'], ['n-0']])), ['n-1', 'n-2'])
  const all = ['n-0', 'n-1', 'n-2']
  assert.deepEqual(namesOf(listReliableAgents.listReliableAgents(self, others, [all, all])), ['n-0'])
})

nodeTest.test('in a large zone a quarter of the agents must suspect an agent before it is left out', () => {
  const [self, ...others] = createAgents(16) as [staging.StagingPeer, ...staging.StagingPeer[]]
  const three = [['n-5'], ['n-5'], ['n-5']]
  assert.ok(namesOf(listReliableAgents.listReliableAgents(self, others, three)).includes('n-5'))
  assert.ok(!namesOf(listReliableAgents.listReliableAgents(self, others, [...three, ['n-5']])).includes('n-5'))
})

nodeTest.test('agents that were live when a fetch began may be silent during it, up to a limit', () => {
  const idle = listReliableAgents.computeSilenceMs(0)
  assert.equal(listReliableAgents.computeSilenceMs(5000), idle + 5000)
  assert.equal(listReliableAgents.computeSilenceMs(3_600_000), 20_000)
})

nodeTest.test('an agent of another zone stays while it is considered live, one of the own zone only while it sends heartbeats', () => {
  const silent = { isLive: true, silentMs: 5200, fetchingMs: 0 }
  assert.equal(listReliableAgents.isRecentlyHeard({ ...silent, isOwnZone: false }), true)
  assert.equal(listReliableAgents.isRecentlyHeard({ ...silent, isOwnZone: true }), false)
  assert.equal(listReliableAgents.isRecentlyHeard({ ...silent, isOwnZone: false, isLive: false }), false)
  for (const isOwnZone of [true, false]) {
    assert.equal(listReliableAgents.isRecentlyHeard({ ...silent, isOwnZone, isLive: false, fetchingMs: 5000 }), true)
    assert.equal(listReliableAgents.isRecentlyHeard({ ...silent, isOwnZone, isLive: false, silentMs: 1000 }), true)
  }
})

nodeTest.test('agents that report themselves as too slow are left out while enough others remain', () => {
  const [self, ...others] = createAgents(4) as [staging.StagingPeer, ...staging.StagingPeer[]]
  assert.deepEqual(namesOf(listReliableAgents.listReliableAgents(self, others, [], ['n-1', 'n-2'])), ['n-0', 'n-3'])
  assert.deepEqual(namesOf(listReliableAgents.listReliableAgents(self, others, [], ['n-0'])), ['n-1', 'n-2', 'n-3'])
  assert.deepEqual(namesOf(listReliableAgents.listReliableAgents(self, others, [], ['n-0', 'n-1', 'n-2'])), ['n-0', 'n-1', 'n-2', 'n-3'])
})
