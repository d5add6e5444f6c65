import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as chooseBackEnd from './index.js'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as gateway from '../types/index.js'
import type * as limiters from '../types/limiter.js'

const NOW = 5000
const SLOTS = 16

function createPlain (id: string): gateway.BackEnd {
  return { id: types.brandId(id), bornAt: null, service: types.brandId('api'), address: { host: '127.0.0.1', port: 1 }, zone: 'a', slots: SLOTS, isDraining: false, models: new Map() }
}

function choose (allowances: Readonly<Record<string, limiters.RateAllowance | null>>, change: Partial<chooseBackEnd.ChoiceInput> = {}): chooseBackEnd.ChoiceOutcome {
  return chooseBackEnd.chooseBackEnd({
    backEnds: Object.keys(allowances).map(createPlain),
    tracker: createBackEndTracker.createBackEndTracker(() => NOW),
    figures: null,
    zone: 'a',
    gateways: 1,
    model: null,
    promptTokens: 0,
    answerTokens: 0,
    lastBeginAt: () => Infinity,
    versionBoundAt: () => Infinity,
    endsAt: NOW + 6000,
    isLeaving: () => false,
    findExclusion: () => null,
    readBackoff: () => ({ waitMs: 0, maximumUnanswered: Infinity }),
    readAllowance: ({ id }) => allowances[id] ?? null,
    mayRequestPermit: true,
    pinnedVersion: null,
    tried: new Set(),
    now: NOW,
    random: () => 0,
    ...change
  })
}

nodeTest.test('a rate-limited back end is chosen only if a permit may be requested', () => {
  assert.equal(choose({ limited: { perSecond: 1, waitMs: 0 } }).choice?.backEnd.id, 'limited')
  const waiting = choose({ limited: { perSecond: 1, waitMs: 700 }, sound: null })
  assert.equal(waiting.choice?.backEnd.id, 'sound')
  assert.deepEqual(waiting.passedOver, { limited: 1 })
  assert.equal(choose({ limited: { perSecond: 1, waitMs: 0 } }, { mayRequestPermit: false }).choice, null)
})

nodeTest.test('if all back ends wait for permits, the shortest wait is returned', () => {
  const outcome = choose({ one: { perSecond: 1, waitMs: 700 }, two: { perSecond: 2, waitMs: 300 } })
  assert.equal(outcome.choice, null)
  assert.equal(outcome.permitWaitMs, 300)
  assert.equal(choose({ sound: null }).permitWaitMs, Infinity)
})

nodeTest.test('a rate-limited back end has as many slots as its limit allows, all occupied while it waits for a permit', () => {
  assert.equal(choose({ limited: { perSecond: 4, waitMs: 500 }, sound: null }).utilization, 4 / (4 + SLOTS))
  assert.equal(choose({ limited: { perSecond: 4, waitMs: 0 }, sound: null }).utilization, 0)
  assert.equal(choose({ limited: { perSecond: 100, waitMs: 500 }, sound: null }).utilization, 0.5)
})

/** Guards against refusals that can't be traced to cold engines, and against a retry time without their permits. */
nodeTest.test('a cold back end that may get no request now is passed over as cold', () => {
  const outcome = choose({ cold: { perSecond: 4, waitMs: 200, isCold: true }, limited: { perSecond: 1, waitMs: 700 } })
  assert.deepEqual(outcome.passedOver, { cold: 1, limited: 1 })
  assert.equal(outcome.permitWaitMs, 200)
  assert.equal(outcome.utilization, 1)
  assert.equal(choose({ cold: { perSecond: 4, waitMs: 0, isCold: true } }).choice?.isRateLimited, true)
})
