/** Guards against calls that are sent to back ends that have asked for a backoff, and against callers who are told to return long after such a back end takes calls again. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as backoffs from '../types/backoff.js'
import type * as gateway from '../types/index.js'
import * as chooseBackEnd from './index.js'

const NOW = 1000
const FREE: backoffs.Backoff = { waitMs: 0, maximumUnanswered: Infinity }
const WAITING: backoffs.Backoff = { waitMs: 3000, maximumUnanswered: 1 }
const RESUMING: backoffs.Backoff = { waitMs: 0, maximumUnanswered: 1 }

function createBackEnd (id: string): gateway.BackEnd {
  return { id: types.brandId<types.NodeId>(id), bornAt: null, service: types.brandId<types.ServiceName>('api'), address: { host: types.LOOPBACK_HOST, port: 9 }, zone: 'a', slots: 4, isDraining: false, models: new Map() }
}

/** Chooses among back ends with these backoffs; `unanswered`: back ends that have one unanswered call. */
function choose (byId: Readonly<Record<string, backoffs.Backoff>>, unanswered: readonly string[] = [], tried: readonly string[] = []): chooseBackEnd.ChoiceOutcome {
  const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
  for (const id of unanswered) tracker.noteSent(types.brandId(id), { promptTokens: 0, answerTokens: 0, sentAt: NOW, hasResponded: false })
  return chooseBackEnd.chooseBackEnd({
    backEnds: Object.keys(byId).map(createBackEnd),
    tracker,
    figures: null,
    zone: 'a',
    gateways: 1,
    model: null,
    promptTokens: 0,
    answerTokens: 0,
    lastBeginAt: () => Infinity,
    versionBoundAt: () => Infinity,
    endsAt: NOW + 5000,
    isLeaving: () => false,
    findExclusion: () => null,
    readBackoff: ({ id }) => byId[id] ?? FREE,
    readAllowance: () => null,
    mayRequestPermit: true,
    pinnedVersion: null,
    tried: new Set(tried.map((id) => types.brandId<types.NodeId>(id))),
    now: NOW,
    random: () => 0
  })
}

nodeTest.test('a back end that asked for a backoff is passed over and counts as no capacity', () => {
  const { choice, passedOver, utilization, backoffWaitMs } = choose({ first: WAITING, second: FREE }, ['second'])
  assert.equal(choice?.backEnd.id, 'second')
  assert.deepEqual(passedOver, { 'backing-off': 1 })
  assert.equal(utilization, 1 / 4)
  assert.equal(backoffWaitMs, Infinity)
})

nodeTest.test('after its time a back end gets one call, and the next one once that is answered', () => {
  assert.equal(choose({ first: RESUMING }).choice?.backEnd.id, 'first')
  assert.equal(choose({ first: RESUMING }, ['first']).choice, null)
})

nodeTest.test('the shortest wait counts where all back ends ask for a backoff, also those that were tried', () => {
  assert.equal(choose({ first: WAITING, second: { ...WAITING, waitMs: 2000 } }).backoffWaitMs, 2000)
  assert.equal(choose({ first: WAITING, second: { ...WAITING, waitMs: 2000 } }, [], ['second']).backoffWaitMs, 2000)
  assert.equal(choose({ first: WAITING, second: FREE }, [], ['second']).backoffWaitMs, Infinity)
})

nodeTest.test('the wait for a back end that takes calls again, but has not answered one yet, is short', () => {
  const { backoffWaitMs } = choose({ first: WAITING, second: RESUMING }, ['second'])
  assert.ok(backoffWaitMs > 0 && backoffWaitMs < WAITING.waitMs / 10)
})
