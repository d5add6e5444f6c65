import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as rateLimitFacts from './rateLimitFacts.js'

const LIFE = types.formatLife(types.brandId('i-1'), 1_790_000_000_000)

nodeTest.test('limits come back as they were told', () => {
  for (const perSecond of [0.5, 20, null]) {
    const told = JSON.parse(JSON.stringify(rateLimitFacts.formatFact({ life: LIFE, perSecond, heardAt: 1 }))) as unknown
    assert.ok(rateLimitFacts.isFact(told))
    assert.deepEqual(rateLimitFacts.parseFact(told, 7), { life: LIFE, perSecond, heardAt: 7 })
  }
})

nodeTest.test('what is no limit is refused', () => {
  for (const content of [['l'], ['l', '', 1], ['l', LIFE, -1], ['l', LIFE, '1'], ['l', LIFE, null], ['l', 'x'.repeat(200), 1]]) assert.equal(rateLimitFacts.parseFact(content, 0), null)
  for (const content of [null, 'l', ['b', 'call', 1], {}]) assert.equal(rateLimitFacts.isFact(content), false)
})
