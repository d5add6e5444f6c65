import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as routing from '../index.js'

const createCandidate = (node: string, load: number): routing.Candidate => ({ node: types.brandId(node), load, reportedLoad: load, limit: 4, queue: 1 })
const alwaysZero = (): number => 0

test.describe('pickBackend', () => {
  test.it('lets a call wait at the entry node only when all slots and queues are full', () => {
    assert.equal(routing.pickLateBinding([createCandidate('a', 4), createCandidate('b', 3)], alwaysZero, '')?.node, 'b')
    assert.equal(routing.pickLateBinding([createCandidate('a', 4), createCandidate('b', 5)], alwaysZero, '')?.node, 'a')
    assert.equal(routing.pickLateBinding([createCandidate('a', 5), createCandidate('b', 5)], alwaysZero, ''), null)
  })

  test.it('keeps a prefix on one backend server until its load exceeds the bound', () => {
    const idle = ['a', 'b', 'c'].map((node) => createCandidate(node, 0))
    const preferred = routing.pickByAffinity(idle, alwaysZero, 'prefix')?.node
    assert.equal(routing.pickByAffinity([...idle].reverse(), alwaysZero, 'prefix')?.node, preferred)
    const loaded = idle.map((candidate) => candidate.node === preferred ? { ...candidate, load: 3 } : candidate)
    assert.notEqual(routing.pickByAffinity(loaded, alwaysZero, 'prefix')?.node, preferred)
  })

  test.it('counts calls sent since the last load report', () => {
    const loads = routing.createBackendLoads()
    const node = types.brandId<types.NodeId>('a')
    loads.noteReported(node, { running: 2, waiting: 0, limit: 4, queue: 1 })
    loads.noteSent(node)
    assert.equal(loads.readCandidate(node, 4, 1).load, 3)
    loads.noteEnded(node, { running: 1, waiting: 0, limit: 4, queue: 1 })
    assert.equal(loads.readCandidate(node, 4, 1).load, 1)
  })
})
