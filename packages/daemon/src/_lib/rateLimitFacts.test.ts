import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as rateLimitFacts from './rateLimitFacts.js'

const LIFE = types.formatBackEndInstanceId(types.brandId('i-1'), 1_790_000_000_000)

nodeTest.test('limits are decoded as they were encoded', () => {
  for (const perSecond of [0.5, 20, null]) {
    const encoded = JSON.parse(JSON.stringify(rateLimitFacts.formatFact({ life: LIFE, perSecond, receivedAt: 1 }))) as unknown
    assert.ok(rateLimitFacts.isFact(encoded))
    assert.deepEqual(rateLimitFacts.parseFact(encoded, 7), { life: LIFE, perSecond, receivedAt: 7 })
  }
})

nodeTest.test('malformed limits and facts about something else are rejected', () => {
  for (const content of [['l'], ['l', '', 1], ['l', LIFE, -1], ['l', LIFE, '1'], ['l', LIFE, null], ['l', 'x'.repeat(200), 1]]) assert.equal(rateLimitFacts.parseFact(content, 0), null)
  for (const content of [null, 'l', ['b', 'call', 1], {}]) assert.equal(rateLimitFacts.isFact(content), false)
})
