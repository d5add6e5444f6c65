import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as types from '@switchridge/types'
import type * as identifyCall from '../identifyCall/index.js'
import type * as quarantine from '../types/index.js'
import * as selectBlocked from './index.js'

const LIMIT = 3

function fingerprint (name: string): identifyCall.CallFingerprint {
  return types.brandId<identifyCall.CallFingerprint>(name)
}

/** Ends one millisecond apart, each with the calls that were there. */
function endUnder (...calls: readonly string[][]): quarantine.BackEndEnd[] {
  return calls.map((names, at) => ({ life: types.brandId<types.BackEndLife>(`i-${at}`), at: at + 1, calls: new Set(names.map(fingerprint)) }))
}

function select (ends: readonly quarantine.BackEndEnd[], servedAt: Readonly<Record<string, number>> = {}): string[] {
  const selection = selectBlocked.selectBlocked({ ends, servedAt: (call) => servedAt[call] ?? -Infinity, limitOf: () => LIMIT, countFrom: () => -Infinity })
  return [...selection.blocked].sort()
}

nodeTest.test('a call that was there when three back ends ended is blocked, one at two ends is not', () => {
  assert.deepEqual(select(endUnder(['lethal', 'a'], ['lethal', 'b'], ['lethal', 'a'])), ['lethal'])
  assert.deepEqual(select(endUnder(['lethal'], ['lethal'])), [])
})

nodeTest.test('a call that met the lethal one three times is not blocked once the lethal one is known by more', () => {
  const ends = endUnder(['lethal', 'beside'], ['lethal', 'beside'], ['lethal', 'beside'], ['lethal'])
  assert.deepEqual(select(ends), ['lethal'])
})

nodeTest.test('a call that was there at five ends is blocked whoever else was', () => {
  const ends = endUnder(['lethal', 'other'], ['lethal', 'other'], ['lethal', 'other'], ['lethal', 'other'], ['lethal', 'other'], ['lethal'])
  assert.deepEqual(select(ends), ['lethal', 'other'])
  assert.deepEqual(select(ends.slice(1)), ['lethal'])
})

nodeTest.test('calls at the same ends can\'t be told apart', () => {
  assert.deepEqual(select(endUnder(['one', 'other'], ['one', 'other'], ['one', 'other'])), ['one', 'other'])
})

nodeTest.test('two lethal calls are both blocked', () => {
  assert.deepEqual(select(endUnder(['one'], ['one', 'two'], ['one'], ['two'], ['two'], ['two'])), ['one', 'two'])
})

nodeTest.test('ends before a call was served count against it no more', () => {
  assert.deepEqual(select(endUnder(['poll'], ['poll'], ['poll'], ['poll']), { poll: 2.5 }), [])
  assert.deepEqual(select(endUnder(['poll'], ['poll'], ['poll'], ['poll']), { poll: 1 }), ['poll'])
})

nodeTest.test('ends that have nothing in common block nothing', () => {
  const ends = endUnder(...Array.from({ length: 40 }, (_, at) => [`a-${at}`, `b-${at}`, `c-${Math.floor(at / 2)}`]))
  assert.deepEqual(select(ends), [])
})

nodeTest.test('the order in which ends are heard of changes nothing, and each blocked call has its own three ends or a twin', () => {
  const call = fastCheck.constantFrom('a', 'b', 'c', 'd', 'e')
  const some = fastCheck.array(fastCheck.array(call, { minLength: 1, maxLength: 4 }), { maxLength: 12 })
  fastCheck.assert(fastCheck.property(some, fastCheck.infiniteStream(fastCheck.nat()), (calls, order) => {
    const ends = endUnder(...calls)
    const shuffled = ends.map((end) => ({ end, rank: order.next().value as number })).sort((left, right) => left.rank - right.rank).map(({ end }) => end)
    assert.deepEqual(select(shuffled), select(ends))
    for (const name of select(ends)) assert.ok(ends.filter((end) => end.calls.has(fingerprint(name))).length >= LIMIT)
  }), { seed: 7 })
})
