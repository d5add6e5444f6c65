/** Guards against back ends that a call may not use but that still count: as free capacity, which admits calls that then wait, or as one without a backoff or with a permit to come, which sets a wrong time to retry. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import * as chooseBackEnd from './index.js'

const NOW = 1000
const BACKOFF_MS = 3000

function createBackEnd (id: string, zone: string, isDraining = false): gateway.BackEnd {
  return { id: types.brandId<types.NodeId>(id), bornAt: null, service: types.brandId<types.ServiceName>('api'), address: { host: types.LOOPBACK_HOST, port: 9 }, zone, slots: 4, isDraining, models: new Map() }
}

/** Chooses for a call that may not enter halls b and c; those of hall c are evacuated. */
function choose (backEnds: readonly gateway.BackEnd[], change: Partial<chooseBackEnd.ChoiceInput> = {}): chooseBackEnd.ChoiceOutcome {
  const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
  for (const { id } of backEnds.slice(0, 1)) tracker.noteSent(id, { promptTokens: 0, answerTokens: 0, sentAt: NOW, hasResponded: false })
  return chooseBackEnd.chooseBackEnd({
    backEnds, tracker, figures: null, zone: 'b', gateways: 1, model: null, promptTokens: 0, answerTokens: 0, lastBeginAt: () => Infinity, versionBoundAt: () => Infinity, endsAt: NOW + 5000, isLeaving: () => false, findExclusion: ({ zone }) => zone === 'b' ? 'region' : zone === 'c' ? 'evacuated' : null, readBackoff: () => ({ waitMs: 0, maximumUnanswered: Infinity }), readAllowance: () => null, mayRequestPermit: true, pinnedVersion: null, tried: new Set(), now: NOW, random: () => 0, ...change
  })
}

nodeTest.test('excluded back ends are passed over and count as no capacity, also in the own data hall', () => {
  const { choice, passedOver, utilization } = choose([createBackEnd('busy', 'a'), createBackEnd('near', 'b'), createBackEnd('leaving', 'b', true), createBackEnd('emptied', 'c')])
  assert.equal(choice?.backEnd.id, 'busy')
  assert.deepEqual(passedOver, { region: 2, evacuated: 1 })
  assert.equal(utilization, 1 / 4)
})

nodeTest.test('excluded back ends affect neither the wait for a backoff nor the wait for a permit', () => {
  const backEnds = [createBackEnd('allowed', 'a'), createBackEnd('other', 'b')]
  assert.equal(choose(backEnds, { readBackoff: ({ zone }) => ({ waitMs: zone === 'a' ? BACKOFF_MS : 0, maximumUnanswered: 1 }) }).backoffWaitMs, BACKOFF_MS)
  const limited = choose(backEnds, { readAllowance: ({ zone }) => ({ perSecond: 1, waitMs: zone === 'a' ? 900 : 100 }) })
  assert.equal(limited.permitWaitMs, 900)
})

nodeTest.test('a choice among excluded back ends only gives no wait', () => {
  const { choice, passedOver, backoffWaitMs, permitWaitMs } = choose([createBackEnd('other', 'b')])
  assert.equal(choice, null)
  assert.deepEqual(passedOver, { region: 1 })
  assert.equal(Math.min(backoffWaitMs, permitWaitMs), Infinity)
})
