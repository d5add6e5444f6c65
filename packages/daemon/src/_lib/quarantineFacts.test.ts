import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import type * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'
import * as backoffFacts from './backoffFacts.js'
import * as factCodes from './factCodes.js'
import * as leavingFacts from './leavingFacts.js'
import * as quarantineFacts from './quarantineFacts.js'
import * as rateLimitFacts from './rateLimitFacts.js'

const CALL = types.brandId<quarantine.CallFingerprint>('3w5e11264sg0')
const OTHER_CALL = types.brandId<quarantine.CallFingerprint>('1a')
const PART = types.brandId<types.PromptPartId>('#a1')
const OTHER_PART = types.brandId<types.PromptPartId>('#b2')
const FACTS: readonly quarantineFacts.QuarantineFact[] = [
  { kind: 'end', life: types.formatBackEndInstanceId(types.brandId('i-1'), null), calls: [CALL] },
  { kind: 'end', life: types.formatBackEndInstanceId(types.brandId('i-1'), 1_790_000_000_000), calls: Array.from({ length: quarantineFacts.MAXIMUM_CALLS_PER_FACT }, () => CALL) },
  { kind: 'served', call: CALL },
  { kind: 'block', call: CALL, count: 2 },
  { kind: 'end-of-parts', life: types.formatBackEndInstanceId(types.brandId('i-1'), 7), callsByPart: new Map([[PART, new Set([CALL])], [OTHER_PART, new Set([CALL, OTHER_CALL])]]) },
  { kind: 'part-served', part: PART },
  { kind: 'block', call: types.brandId<quarantine.PartSetId>('#a1+#b2'), count: 1 }
]

nodeTest.test('facts are decoded as they were encoded', () => {
  for (const fact of FACTS) assert.deepEqual(quarantineFacts.parseFact(JSON.parse(JSON.stringify(quarantineFacts.formatFact(fact)))), fact)
})

/** Guards against reports of completed calls that gateways take for the announcement of a back end that leaves. */
nodeTest.test('no fact of the quarantine is taken for another kind of fact, nor another kind for one of them', () => {
  for (const fact of FACTS) {
    const content = quarantineFacts.formatFact(fact)
    assert.equal(leavingFacts.parseFact(content), null, fact.kind)
    assert.equal(backoffFacts.parseFact(content), null, fact.kind)
    assert.ok(!rateLimitFacts.isFact(content), fact.kind)
  }
  const life = types.brandId<types.BackEndInstanceId>('i-1')
  for (const content of [leavingFacts.formatFact(life), backoffFacts.formatFact(life), rateLimitFacts.formatFact({ life, perSecond: 5, receivedAt: 0 })]) assert.equal(quarantineFacts.parseFact(content), null)
  const codes = Object.values(factCodes.FACT_CODES)
  assert.equal(new Set(codes).size, codes.length)
})

nodeTest.test('process instances of the same backend server have different identifiers', () => {
  assert.notEqual(types.formatBackEndInstanceId(types.brandId('i-1'), 1), types.formatBackEndInstanceId(types.brandId('i-1'), 2))
})

nodeTest.test('malformed facts decode to null', () => {
  const malformed = [null, 7, {}, [], ['e'], ['e', 'i-1'], ['e', '', CALL], ['e', 'i-1', 'NO'], ['s'], ['s', 7], ['b', CALL], ['b', CALL, 0], ['b', CALL, 1.5], ['x', CALL], ['p'], ['p', 'i-1'], ['p', 'i-1', [PART]], ['p', 'i-1', ['a1', CALL]], ['p', 'i-1', [PART, 'NO']], ['p', 'i-1', PART], ['p', 'i-1', [PART, ...Array(5).fill(CALL)]],
    ['p', 'i-1', ...Array(9).fill([PART, CALL])], ['c'], ['c', CALL], ['b', '#b2+#a1', 1], ['b', '#', 1]]
  for (const value of malformed) assert.equal(quarantineFacts.parseFact(value), null, JSON.stringify(value))
  fastCheck.assert(fastCheck.property(fastCheck.jsonValue(), (value) => { assert.doesNotThrow(() => quarantineFacts.parseFact(value)) }), { seed: 7 })
})
