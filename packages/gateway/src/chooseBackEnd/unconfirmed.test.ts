/** Guards against calls that end at entries which lead to no engine although an engine that has answered has room. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as gateway from '../types/index.js'
import * as chooseBackEnd from './index.js'

const NOW = 1000
const ANSWERED = 'i-answered'
const UNCONFIRMED = 'i-unconfirmed'
const OPEN = { promptTokens: 0, answerTokens: 0, sentAt: NOW, hasResponded: false }

interface Situation {
  readonly isRepeatable?: boolean
  readonly tried?: readonly string[]
  /** Calls in progress at the engine that has answered, and at the one that is not confirmed. */
  readonly openAtAnswered?: number
  readonly openAtUnconfirmed?: number
  readonly now?: number
  readonly failures?: number
  readonly isReported?: boolean
}

const REPORT: gateway.EngineReport = { bornAt: null, running: 0, waiting: 0, isBusy: false, sequence: 0, pace: 1, limitPerSecond: null, isLeaving: false, models: new Map() }

function createBackEnd (id: string): gateway.BackEnd {
  return { id: types.brandId<types.NodeId>(id), bornAt: null, service: types.brandId<types.ServiceName>('api'), address: { host: types.LOOPBACK_HOST, port: 9 }, zone: 'a', slots: 40, isDraining: false, models: new Map() }
}

/** Chooses between an engine that has answered and an instance that has neither answered nor reported. */
function choose ({ isRepeatable = true, tried = [], openAtAnswered = 1, openAtUnconfirmed = 0, now = NOW, failures = 0, isReported = false }: Situation): string | undefined {
  let clock = NOW
  const tracker = createBackEndTracker.createBackEndTracker(() => clock)
  const [answered, unconfirmed] = [ANSWERED, UNCONFIRMED].map((id) => types.brandId<types.NodeId>(id)) as [types.NodeId, types.NodeId]
  tracker.noteSuccess(answered)
  for (let index = 0; index < openAtAnswered; index += 1) tracker.noteSent(answered, { ...OPEN })
  for (let index = 0; index < openAtUnconfirmed; index += 1) tracker.noteSent(unconfirmed, { ...OPEN })
  for (let index = 0; index < failures; index += 1) tracker.noteFailure(unconfirmed)
  clock = now
  if (isReported) tracker.noteReport(unconfirmed, { report: REPORT, isPaused: false, changesInMs: null }, now, 0)
  return chooseBackEnd.chooseBackEnd({
    backEnds: [ANSWERED, UNCONFIRMED].map(createBackEnd),
    tracker,
    figures: null,
    zone: 'a',
    gateways: 1,
    model: null,
    promptTokens: 0,
    answerTokens: 0,
    lastBeginAt: () => Infinity,
    versionBoundAt: () => Infinity,
    endsAt: now + 5000,
    isRepeatable,
    isLeaving: () => false,
    findExclusion: () => null,
    readBackoff: () => ({ waitMs: 0, maximumUnanswered: Infinity }),
    readAllowance: () => null,
    mayRequestPermit: true,
    pinnedVersion: null,
    tried: new Set(tried.map((id) => types.brandId<types.NodeId>(id))),
    now,
    random: () => 0
  }).choice?.backEnd.id
}

nodeTest.test('a call that may be repeated confirms an idle instance', () => {
  assert.equal(choose({}), UNCONFIRMED)
})

nodeTest.test('an instance whose first call is unanswered gets no second one while another one has room', () => {
  assert.equal(choose({ openAtAnswered: 5, openAtUnconfirmed: 1 }), ANSWERED)
})

nodeTest.test('a call that has failed elsewhere goes to the engine that has answered', () => {
  assert.equal(choose({ openAtAnswered: 5, tried: ['i-other'] }), ANSWERED)
})

nodeTest.test('a call that may not be repeated goes to the engine that has answered unless that is busy', () => {
  assert.equal(choose({ isRepeatable: false, openAtAnswered: 1 }), ANSWERED)
  assert.equal(choose({ isRepeatable: false, openAtAnswered: 10 }), UNCONFIRMED)
})

nodeTest.test('an instance that has only failed is avoided longer than an engine that has answered would be, until it reports', () => {
  const avoided = { failures: 6, now: NOW + 4000 }
  assert.equal(choose(avoided), ANSWERED)
  assert.equal(choose({ ...avoided, isReported: true }), UNCONFIRMED)
})
