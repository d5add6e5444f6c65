import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as chooseCounter from './index.js'

const BACK_END: chooseCounter.RateLimitedBackEnd = { life: types.brandId('engine-1'), host: '10.1.0.9', zone: 'a' }
const AGENT: chooseCounter.CounterCandidate = { node: types.brandId('agent-9'), host: '10.1.0.9', zone: 'a', role: 'agent', isLive: true, isLeaving: false }

function gateway (index: number, zone: string, change: Partial<chooseCounter.CounterCandidate> = {}): chooseCounter.CounterCandidate {
  return { node: types.brandId(`gateway-${index}`), host: `10.2.0.${index}`, zone, role: 'gateway', isLive: true, isLeaving: false, ...change }
}

const GATEWAYS = [gateway(1, 'a'), gateway(2, 'a'), gateway(3, 'b'), gateway(4, 'b')]

nodeTest.test('the agent on the host of a back end is its counter', () => {
  assert.deepEqual(chooseCounter.chooseCounter(BACK_END, [...GATEWAYS, AGENT]), { host: AGENT.host, part: 1 })
})

nodeTest.test('a gateway of the same hall substitutes for an agent that is not live, with a fraction of the limit', () => {
  const chosen = chooseCounter.chooseCounter(BACK_END, [...GATEWAYS, { ...AGENT, isLive: false }])
  assert.ok(['10.2.0.1', '10.2.0.2'].includes(chosen?.host ?? ''))
  assert.ok((chosen?.part ?? 1) < 0.5)
})

nodeTest.test('without an agent all daemons choose the same gateway of the hall', () => {
  const chosen = chooseCounter.chooseCounter(BACK_END, GATEWAYS)
  assert.equal(chosen?.part, 1)
  assert.deepEqual(chooseCounter.chooseCounter(BACK_END, [...GATEWAYS].reverse()), chosen)
})

nodeTest.test('a gateway that is leaving or not live is not chosen', () => {
  const [first] = GATEWAYS.slice(0, 2).filter(({ host }) => host === chooseCounter.chooseCounter(BACK_END, GATEWAYS)?.host)
  for (const change of [{ isLive: false }, { isLeaving: true }]) {
    const chosen = chooseCounter.chooseCounter(BACK_END, GATEWAYS.map((each) => each === first ? { ...each, ...change } : each))
    assert.notEqual(chosen?.host, first?.host)
    assert.ok(['10.2.0.1', '10.2.0.2'].includes(chosen?.host ?? ''))
  }
})

nodeTest.test('a hall without gateways gets a counter from another hall, and an empty fleet has none', () => {
  assert.ok(['10.2.0.3', '10.2.0.4'].includes(chooseCounter.chooseCounter(BACK_END, GATEWAYS.slice(2))?.host ?? ''))
  assert.equal(chooseCounter.chooseCounter(BACK_END, []), null)
})
