import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as mustConfirmSlots from './index.js'

/** Guards against requests for slots where no agent can answer them, and in fleets in which predictions suffice. */
nodeTest.test('slots are confirmed only where gateways outnumber agents', () => {
  assert.equal(mustConfirmSlots.mustConfirmSlots({ isEnabled: true, gateways: 58, agents: 40 }), true)
  assert.equal(mustConfirmSlots.mustConfirmSlots({ isEnabled: true, gateways: 40, agents: 45 }), false)
  assert.equal(mustConfirmSlots.mustConfirmSlots({ isEnabled: true, gateways: 3, agents: 3 }), false)
  assert.equal(mustConfirmSlots.mustConfirmSlots({ isEnabled: true, gateways: 3, agents: 0 }), false)
  assert.equal(mustConfirmSlots.mustConfirmSlots({ isEnabled: false, gateways: 58, agents: 40 }), false)
})
