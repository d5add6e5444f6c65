import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as chooseCounter from '../chooseCounter/index.js'
import * as chooseColdCounter from './index.js'

const BACK_END: chooseCounter.RateLimitedBackEnd = { life: types.brandId('engine-1'), host: '10.1.0.9', zone: 'a' }
const AGENT: chooseCounter.CounterCandidate = { node: types.brandId('agent-9'), host: '10.1.0.9', zone: 'a', role: 'agent', isLive: true, isLeaving: false }

function gateway (index: number, change: Partial<chooseCounter.CounterCandidate> = {}): chooseCounter.CounterCandidate {
  return { node: types.brandId(`gateway-${index}`), host: `10.2.0.${index}`, zone: index % 2 === 0 ? 'a' : 'b', role: 'gateway', isLive: true, isLeaving: false, ...change }
}

const GATEWAYS = [1, 2, 3, 4, 5].map((index) => gateway(index))

nodeTest.test('the live agent on the host counts with the whole limit, also for a gateway that has just started or sees no other one', () => {
  assert.deepEqual(chooseColdCounter.chooseColdCounter(BACK_END, [...GATEWAYS, AGENT], true), { host: AGENT.host, part: 1 })
  assert.deepEqual(chooseColdCounter.chooseColdCounter(BACK_END, [gateway(1), AGENT], false), { host: AGENT.host, part: 1 })
})

/** Guards against a fleet of restarted gateways that know no agent yet, each of which would grant itself the whole limit. */
nodeTest.test('a substitute grants a quarter, whether or not an agent is known', () => {
  for (const candidates of [GATEWAYS, [...GATEWAYS, { ...AGENT, isLive: false }]]) {
    const chosen = chooseColdCounter.chooseColdCounter(BACK_END, candidates, true)
    assert.equal(chosen?.part, chooseCounter.SUBSTITUTE_FRACTION)
    assert.equal(chooseColdCounter.chooseColdCounter(BACK_END, candidates, false), null)
  }
})

/** Guards against gateways that are cut off from each other, each of which would grant itself a quarter. */
nodeTest.test('a gateway that sees no majority of the known gateways chooses no substitute', () => {
  const cutOff = GATEWAYS.map((each, index) => ({ ...each, isLive: index < 2 }))
  assert.equal(chooseColdCounter.chooseColdCounter(BACK_END, cutOff, true), null)
  const half = [gateway(1), gateway(2, { isLive: false })]
  assert.equal(chooseColdCounter.chooseColdCounter(BACK_END, half, true), null)
  const withLeaving = [gateway(1), gateway(2), gateway(3, { isLive: false, isLeaving: true }), gateway(4, { isLive: false, isLeaving: true })]
  assert.notEqual(chooseColdCounter.chooseColdCounter(BACK_END, withLeaving, true), null)
})
