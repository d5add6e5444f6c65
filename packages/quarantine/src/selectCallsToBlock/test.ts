import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as types from '@switchridge/types'
import type * as computeFingerprint from '../computeFingerprint/index.js'
import type * as quarantine from '../types/index.js'
import * as selectCallsToBlock from './index.js'

const REQUIRED_ENDS = 3

function fingerprint (name: string): computeFingerprint.CallFingerprint {
  return types.brandId<computeFingerprint.CallFingerprint>(name)
}

/** Creates ends one millisecond apart, each with the calls that were lost. */
function createEnds (...calls: readonly string[][]): quarantine.BackEndTermination[] {
  return calls.map((names, at) => ({ life: types.brandId<types.BackEndInstanceId>(`i-${at}`), at: at + 1, calls: new Set(names.map(fingerprint)) }))
}

function select (ends: readonly quarantine.BackEndTermination[], servedAt: Readonly<Record<string, number>> = {}): string[] {
  const selection = selectCallsToBlock.selectCallsToBlock({ ends, servedAt: (call) => servedAt[call] ?? -Infinity, requiredEnds: () => REQUIRED_ENDS, countEndsFrom: () => -Infinity })
  return [...selection.blocked].sort()
}

nodeTest.test('a call that was lost with three back ends is blocked, one lost with two is not', () => {
  assert.deepEqual(select(createEnds(['crashing', 'a'], ['crashing', 'b'], ['crashing', 'a'])), ['crashing'])
  assert.deepEqual(select(createEnds(['crashing'], ['crashing'])), [])
})

nodeTest.test('a call that ran beside a crashing one three times is not blocked if the crashing one has more ends', () => {
  const ends = createEnds(['crashing', 'beside'], ['crashing', 'beside'], ['crashing', 'beside'], ['crashing'])
  assert.deepEqual(select(ends), ['crashing'])
})

nodeTest.test('a call with five ends is blocked whichever calls ran beside it', () => {
  const ends = createEnds(['crashing', 'other'], ['crashing', 'other'], ['crashing', 'other'], ['crashing', 'other'], ['crashing', 'other'], ['crashing'])
  assert.deepEqual(select(ends), ['crashing', 'other'])
  assert.deepEqual(select(ends.slice(1)), ['crashing'])
})

nodeTest.test('calls with the same ends are all blocked, since they can\'t be told apart', () => {
  assert.deepEqual(select(createEnds(['one', 'other'], ['one', 'other'], ['one', 'other'])), ['one', 'other'])
})

nodeTest.test('two crashing calls that shared one back end are both blocked', () => {
  assert.deepEqual(select(createEnds(['one'], ['one', 'two'], ['one'], ['two'], ['two'], ['two'])), ['one', 'two'])
})

nodeTest.test('ends before a call was completed don\'t count against it', () => {
  assert.deepEqual(select(createEnds(['poll'], ['poll'], ['poll'], ['poll']), { poll: 2.5 }), [])
  assert.deepEqual(select(createEnds(['poll'], ['poll'], ['poll'], ['poll']), { poll: 1 }), ['poll'])
})

nodeTest.test('ends without a common call block nothing', () => {
  const ends = createEnds(...Array.from({ length: 40 }, (_, at) => [`a-${at}`, `b-${at}`, `c-${Math.floor(at / 2)}`]))
  assert.deepEqual(select(ends), [])
})

nodeTest.test('the order of ends does not change the selection, and each blocked call has at least three ends', () => {
  const call = fastCheck.constantFrom('a', 'b', 'c', 'd', 'e')
  const some = fastCheck.array(fastCheck.array(call, { minLength: 1, maxLength: 4 }), { maxLength: 12 })
  fastCheck.assert(fastCheck.property(some, fastCheck.infiniteStream(fastCheck.nat()), (calls, order) => {
    const ends = createEnds(...calls)
    const shuffled = ends.map((end) => ({ end, rank: order.next().value as number })).sort((left, right) => left.rank - right.rank).map(({ end }) => end)
    assert.deepEqual(select(shuffled), select(ends))
    for (const name of select(ends)) assert.ok(ends.filter((end) => end.calls.has(fingerprint(name))).length >= REQUIRED_ENDS)
  }), { seed: 7 })
})
