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

/** Creates ends 100 ms apart; each call is written as its name and its parts, such as `x:ab`, where each letter is a part. */
function createEndsOfPrompts (...calls: readonly string[][]): quarantine.BackEndTermination[] {
  return calls.map((lost, index) => {
    const callsByPart = new Map<types.PromptPartId, Set<computeFingerprint.CallFingerprint>>()
    const names = lost.map((text) => text.split(':') as [string, string])
    for (const [name, parts] of names) for (const part of parts) types.getOrCreate(callsByPart, types.brandId<types.PromptPartId>(`#${part}`), () => new Set()).add(fingerprint(name))
    return { life: types.brandId<types.BackEndInstanceId>(`i-${index}`), at: (index + 1) * 100, calls: new Set(names.map(([name]) => fingerprint(name))), callsByPart }
  })
}

nodeTest.test('a part that different calls shared at three ends is blocked, the parts beside it are not', () => {
  assert.deepEqual(select(createEndsOfPrompts(['x:ad', 'y:ae'], ['z:bd'], ['u:cd', 'v:be'])), ['#d'])
  assert.deepEqual(select(createEndsOfPrompts(['x:ad'], ['z:bd'])), [])
})

nodeTest.test('parts that always came together are blocked only together, until a call with one of them is completed', () => {
  const ends = createEndsOfPrompts(['x:ad'], ['y:ad'], ['z:ad'])
  assert.deepEqual(select(ends), ['#a+#d'])
  assert.deepEqual(select(ends, { '#a': 350 }), ['#d'])
})

nodeTest.test('a part that other calls at the same ends have, too, is explained by the part of fewer calls', () => {
  assert.deepEqual(select(createEndsOfPrompts(['x:ad', 'p:a'], ['y:ad', 'q:a'], ['z:ad', 'r:a'])), ['#a+#d'])
})

nodeTest.test('a part of a single call is not told from that call', () => {
  assert.deepEqual(select(createEndsOfPrompts(['x:d'], ['x:d'], ['x:d'])), ['x'])
})

nodeTest.test('a part that a call was completed with is blocked after the parts that none was, and not for ends that those explain', () => {
  const ends = createEndsOfPrompts(['x:ad'], ['y:ad'], ['z:ad'], ['u:ae'], ['v:ae'], ['w:ae'])
  assert.deepEqual(select(ends, { '#a': 50 }), ['#d', '#e'])
})

nodeTest.test('back ends that end at the same moment count once against a part that calls on all of them share', () => {
  const ends = createEndsOfPrompts(['x:a'], ['y:a'], ['z:a']).map((end, index) => ({ ...end, at: 100 + index }))
  assert.deepEqual(select(ends), [])
})

nodeTest.test('back ends that end at the same moment count separately if one call was sent to them one after the other', () => {
  const ends = createEndsOfPrompts(['x:a'], ['x:a'], ['y:a']).map((end, index) => ({ ...end, at: 100 + index }))
  assert.deepEqual(select([...ends, ...createEndsOfPrompts(['z:a'])]), [])
  assert.deepEqual(select([...ends, { ...ends[2] as quarantine.BackEndTermination, at: 103 }]), ['#a'])
})

nodeTest.test('two parts that crash back ends are both blocked, whichever calls they met on one back end', () => {
  assert.deepEqual(select(createEndsOfPrompts(['x:ad', 'y:ae'], ['z:bd'], ['u:cd'], ['v:be'], ['w:ce'], ['s:ae'], ['q:bd'])), ['#d', '#e'])
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
