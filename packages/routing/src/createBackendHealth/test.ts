import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as routing from '../index.js'

const NODE = types.brandId<types.NodeId>('a')

test.describe('createBackendHealth', () => {
  test.it('avoids a server after consecutive failures, then lets one call at a time probe it', () => {
    let now = 0
    const health = routing.createBackendHealth(() => now)
    health.noteFailure(NODE)
    assert.equal(health.isUsable(NODE), true)
    health.noteFailure(NODE)
    assert.equal(health.isUsable(NODE), false)
    now = 500
    assert.equal(health.isUsable(NODE), true)
    health.noteAttempt(NODE)
    assert.equal(health.isUsable(NODE), false)
    health.noteSuccess(NODE)
    assert.equal(health.isUsable(NODE), true)
    assert.equal(health.size(), 0)
  })
})

test.describe('createRetryBudget', () => {
  test.it('limits extra attempts to the reserve plus a fraction of the calls', () => {
    const budget = routing.createRetryBudget(0.1)
    let spent = 0
    for (let call = 0; call < 1000; call += 1) {
      budget.noteCall()
      if (budget.trySpend()) spent += 1
    }
    assert.ok(spent <= 105 && spent >= 100, `${spent} extra attempts`)
  })
})
