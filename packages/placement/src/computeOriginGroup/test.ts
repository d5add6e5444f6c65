import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as types from '@switchridge/types'
import * as computeOriginGroup from './index.js'

const HALLS = ['a', 'b', 'c', 'd', 'e'].map((id) => types.brandId<types.DataHallId>(id))

function makeRow (favour: types.TransferPreference, originCopies: number): types.ModelRow {
  return { favour, originCopies } as unknown as types.ModelRow
}

test.describe('computeOriginGroup', () => {
  test.it('puts all halls into one group while all are reachable', () => {
    const halls = HALLS.map((dataHall) => ({ dataHall, isReachable: true }))
    assert.deepEqual(computeOriginGroup.computeOriginGroup(makeRow('time', 4), HALLS[0]!, halls), HALLS)
  })

  test.it('never lets the partitions of a split fleet read more copies than the row allows', () => {
    const partitions = fc.array(fc.integer({ min: 0, max: 4 }), { minLength: HALLS.length, maxLength: HALLS.length })
    fc.assert(fc.property(partitions, fc.integer({ min: 1, max: 5 }), fc.constantFrom<types.TransferPreference>('time', 'origin-bytes'), (partitionOfHall, copies, favour) => {
      const groups = new Set(HALLS.map((own, index) => {
        const halls = HALLS.map((dataHall, other) => ({ dataHall, isReachable: partitionOfHall[other] === partitionOfHall[index] }))
        return computeOriginGroup.computeOriginGroup(makeRow(favour, copies), own, halls).join()
      }))
      assert.ok(groups.size <= Math.max(1, copies), `${groups.size} groups read a copy each`)
    }), { seed: 11 })
  })
})
