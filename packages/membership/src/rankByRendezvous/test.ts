import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as rendezvous from './index.js'

const identity = (id: string): string => id

test.describe('rankByRendezvous', () => {
  test.it('keeps the order of the other items when one is removed', () => {
    fc.assert(fc.property(fc.string(), fc.uniqueArray(fc.string(), { minLength: 1 }), fc.nat(), (key, ids, choice) => {
      const removed = ids[choice % ids.length]
      const before = rendezvous.rankByRendezvous(key, ids, identity).filter((id) => id !== removed)
      const after = rendezvous.rankByRendezvous(key, ids.filter((id) => id !== removed), identity)
      assert.deepEqual(after, before)
    }), { seed: 1 })
  })

  test.it('does not depend on the order of the input, and picks the first of the ranking', () => {
    fc.assert(fc.property(fc.string(), fc.uniqueArray(fc.string(), { minLength: 1 }), (key, ids) => {
      const ranked = rendezvous.rankByRendezvous(key, ids, identity)
      assert.deepEqual(rendezvous.rankByRendezvous(key, [...ids].reverse(), identity), ranked)
      assert.equal(rendezvous.pickByRendezvous(key, ids, identity), ranked[0])
    }), { seed: 2 })
  })

  test.it('distributes keys evenly', () => {
    const ids = Array.from({ length: 8 }, (_, index) => `node-${index}`)
    const counts = new Map<string, number>()
    for (let key = 0; key < 8000; key += 1) {
      const winner = rendezvous.pickByRendezvous(String(key), ids, identity) ?? ''
      counts.set(winner, (counts.get(winner) ?? 0) + 1)
    }
    for (const count of counts.values()) assert.ok(count > 850 && count < 1150, `count ${count}`)
  })
})
