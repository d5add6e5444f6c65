import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as routing from '../index.js'

const candidateOf = (node: string, load: number): routing.Candidate => ({ node: types.brandId(node), load, statedLoad: load, limit: 4, queue: 1 })
const noRandom = (): number => 0

test.describe('pickBackend', () => {
  test.it('lets a call wait only when no slot and no place is left', () => {
    assert.equal(routing.pickLateBinding([candidateOf('a', 4), candidateOf('b', 3)], noRandom, '')?.node, 'b')
    assert.equal(routing.pickLateBinding([candidateOf('a', 4), candidateOf('b', 5)], noRandom, '')?.node, 'a')
    assert.equal(routing.pickLateBinding([candidateOf('a', 5), candidateOf('b', 5)], noRandom, ''), null)
  })

  test.it('keeps a prefix on one backend server until that one has more than its part', () => {
    const idle = ['a', 'b', 'c'].map((node) => candidateOf(node, 0))
    const home = routing.pickAffine(idle, noRandom, 'prefix')?.node
    assert.equal(routing.pickAffine([...idle].reverse(), noRandom, 'prefix')?.node, home)
    const loaded = idle.map((candidate) => candidate.node === home ? { ...candidate, load: 3 } : candidate)
    assert.notEqual(routing.pickAffine(loaded, noRandom, 'prefix')?.node, home)
  })

  test.it('counts what was sent since the last word', () => {
    const loads = routing.createBackendLoads()
    const node = types.brandId<types.NodeId>('a')
    loads.noteStated(node, { running: 2, waiting: 0, limit: 4, queue: 1 })
    loads.noteSent(node)
    assert.equal(loads.readCandidate(node, 4, 1).load, 3)
    loads.noteEnded(node, { running: 1, waiting: 0, limit: 4, queue: 1 })
    assert.equal(loads.readCandidate(node, 4, 1).load, 1)
  })
})
