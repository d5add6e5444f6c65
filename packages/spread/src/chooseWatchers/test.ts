import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as chooseWatchers from './index.js'

function makeGateways (count: number, change: Partial<chooseWatchers.WatchingMember> = {}): chooseWatchers.WatchingMember[] {
  return Array.from({ length: count }, (_, index) => ({ node: types.brandId<types.NodeId>(`gateway-${index}`), role: 'gateway', zone: 'hall-a', isLeaving: false, isStoreLost: false, ...change }))
}

function nodes (members: readonly chooseWatchers.WatchingMember[]): string[] {
  return members.map(({ node }) => node)
}

nodeTest.test('in a small hall all gateways watch the store', () => {
  assert.equal(chooseWatchers.chooseWatchers(makeGateways(3), 'hall-a').length, 3)
  assert.equal(chooseWatchers.chooseWatchers(makeGateways(3, { isStoreLost: true }), 'hall-a').length, 3)
})

nodeTest.test('in a large hall two gateways watch the store, the same ones whatever order they are listed in', () => {
  const gateways = makeGateways(13)
  const chosen = nodes(chooseWatchers.chooseWatchers(gateways, 'hall-a'))
  assert.equal(chosen.length, chooseWatchers.WATCHERS_PER_HALL)
  assert.deepEqual(nodes(chooseWatchers.chooseWatchers([...gateways].reverse(), 'hall-a')), chosen)
})

nodeTest.test('beside other halls one gateway of each hall watches the store, also in a small hall, and the next one replaces it', () => {
  for (const count of [2, 3, 13]) {
    const gateways = makeGateways(count)
    const [first, second] = chooseWatchers.chooseWatchers(gateways, 'hall-a')
    assert.deepEqual(nodes(chooseWatchers.chooseWatchers(gateways, 'hall-a', false)), [first?.node])
    const lost = gateways.map((gateway) => gateway.node === first?.node ? { ...gateway, isStoreLost: true } : gateway)
    assert.deepEqual(nodes(chooseWatchers.chooseWatchers(lost, 'hall-a', false)), [second?.node])
  }
  assert.equal(chooseWatchers.chooseWatchers(makeGateways(3, { isStoreLost: true }), 'hall-a', false).length, 3)
})

nodeTest.test('a watcher that leaves or has lost the store is replaced, and the other one stays', () => {
  const gateways = makeGateways(13)
  const [first, second] = chooseWatchers.chooseWatchers(gateways, 'hall-a')
  for (const change of [{ isLeaving: true }, { isStoreLost: true }]) {
    const changed = gateways.map((gateway) => gateway.node === first?.node ? { ...gateway, ...change } : gateway)
    const next = nodes(chooseWatchers.chooseWatchers(changed, 'hall-a'))
    assert.equal(next.length, chooseWatchers.WATCHERS_PER_HALL)
    assert.equal(next[0], second?.node)
    assert.equal(next.includes(first?.node ?? ''), false)
  }
})

nodeTest.test('all gateways watch if the store answers none of a hall', () => {
  assert.equal(chooseWatchers.chooseWatchers(makeGateways(13, { isStoreLost: true }), 'hall-a').length, 13)
})

nodeTest.test('agents and gateways of other halls are not chosen', () => {
  const others = [...makeGateways(5, { zone: 'hall-b' }), ...makeGateways(5, { role: 'agent' })]
  assert.deepEqual(chooseWatchers.chooseWatchers(others, 'hall-a'), [])
})
