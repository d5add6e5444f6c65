import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as createGossip from '../createGossip/index.js'
import * as rankGateways from './index.js'

function describe (node: string, change: Partial<createGossip.Heartbeat> = {}): createGossip.Heartbeat {
  return { node: types.brandId(node), role: 'gateway', zone: 'hall-a', host: node, isLeaving: false, isStoreLost: false, copies: {}, versions: [], suspects: [], engine: null, ...change }
}

nodeTest.test('gateways of the hall that are not leaving are ranked alike, whatever order they are listed in', () => {
  const members = ['a', 'b', 'c', 'd'].map((node) => describe(node))
  const others = [describe('e', { zone: 'hall-b' }), describe('f', { role: 'agent' }), describe('g', { isLeaving: true })]
  const ranked = rankGateways.rankGateways([...members, ...others], 'hall-a').map((each) => each.node)
  assert.deepEqual(rankGateways.rankGateways([...others, ...members].reverse(), 'hall-a').map((each) => each.node), ranked)
  assert.deepEqual([...ranked].sort(), ['a', 'b', 'c', 'd'])
  const without = rankGateways.rankGateways(members.filter((each) => each.node !== ranked[1]), 'hall-a').map((each) => each.node)
  assert.deepEqual(without, [ranked[0], ranked[2], ranked[3]])
})
