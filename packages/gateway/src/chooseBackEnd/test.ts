import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as chooseBackEnd from './index.js'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as gateway from '../types/index.js'

const FIGURES: gateway.EngineFigures = {
  slots: 16, models: ['m'], layers: 1, chunks: 1, chunkBytes: 1, stepMs: 10, stepMsPerSequence: 0, prefillTokensPerMs: 20, usualPromptTokens: 1000, usualAnswerTokens: 100
}
const NOW = 5000

function createEngine (id: string, version: number, zone = 'a', isDraining = false): gateway.BackEnd {
  return {
    id: types.brandId(id), bornAt: null, service: types.brandId('llm'), address: { host: '127.0.0.1', port: 1 }, zone, slots: 16, isDraining, models: new Map([['m', version]])
  }
}

function report (version: number, running: number, waiting = 0): createBackEndTracker.AgentStatus {
  return {
    isPaused: false, changesInMs: null, report: { bornAt: null, running, waiting, isBusy: false, sequence: 0, pace: 1, limitPerSecond: null, isLeaving: false, models: new Map([['m', version]]) }
  }
}

function chooseAmong (backEnds: readonly gateway.BackEnd[], tracker: createBackEndTracker.BackEndTracker, change: Partial<chooseBackEnd.ChoiceInput> = {}): chooseBackEnd.ChoiceOutcome {
  return chooseBackEnd.chooseBackEnd({
    backEnds, tracker, figures: FIGURES, zone: 'a', gateways: 1, model: 'm', promptTokens: 1000, answerTokens: 100, lastBeginAt: () => Infinity, versionBoundAt: () => Infinity, endsAt: NOW + 6000, isLeaving: () => false, findExclusion: () => null, readBackoff: () => ({ waitMs: 0, maximumUnanswered: Infinity }), readAllowance: () => null, mayRequestPermit: true, pinnedVersion: null, tried: new Set(), now: NOW, random: () => 0, ...change
  })
}

function choose (backEnds: readonly gateway.BackEnd[], tracker: createBackEndTracker.BackEndTracker, change: Partial<chooseBackEnd.ChoiceInput> = {}): string | null {
  return chooseAmong(backEnds, tracker, change).choice?.backEnd.id ?? null
}

nodeTest.test('the engine with the earliest first event is chosen, and the own data hall among equals', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
  const engines = [createEngine('far', 1, 'b'), createEngine('full', 1), createEngine('near', 1)]
  tracker.noteReport(types.brandId('full'), report(1, 16, 4), NOW, 0)
  assert.equal(choose(engines, tracker), 'near')
  tracker.noteReport(types.brandId('near'), report(1, 16, 2), NOW, 0)
  assert.equal(choose(engines, tracker), 'far')
})

nodeTest.test('engines that are draining, were tried or hold another version are passed over', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
  assert.equal(choose([createEngine('draining', 1, 'a', true)], tracker), null)
  assert.equal(choose([createEngine('tried', 1)], tracker, { tried: new Set([types.brandId<types.NodeId>('tried')]) }), null)
  assert.equal(choose([createEngine('old', 1), createEngine('new', 2, 'b')], tracker, { pinnedVersion: 2 }), 'new')
})

nodeTest.test('a back end whose address now belongs to another one is passed over', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
  const engines = [createEngine('ended', 1), createEngine('next', 1, 'b')]
  tracker.noteInstanceEnded(types.brandId('ended'))
  assert.equal(choose(engines, tracker), 'next')
  assert.equal(choose([createEngine('ended', 1)], tracker), null)
})

nodeTest.test('an engine where the call may begin too late is passed over: queues, overdue reports, pauses and saturated links', () => {
  const lastBeginAt = (version: number): number => version < 2 ? NOW + 400 : Infinity
  const engines = [createEngine('old', 1)]
  const idle = createBackEndTracker.createBackEndTracker(() => NOW)
  idle.noteReport(types.brandId('old'), report(1, 2), NOW, 0)
  assert.equal(choose(engines, idle, { lastBeginAt }), 'old')
  const queued = createBackEndTracker.createBackEndTracker(() => NOW)
  queued.noteReport(types.brandId('old'), report(1, 16, 4), NOW, 0)
  assert.equal(choose(engines, queued, { lastBeginAt }), null)
  const silent = createBackEndTracker.createBackEndTracker(() => NOW)
  silent.noteReport(types.brandId('old'), report(1, 2), NOW - 1300, 0)
  assert.equal(choose(engines, silent, { lastBeginAt }), null)
  const paused = createBackEndTracker.createBackEndTracker(() => NOW)
  paused.noteReport(types.brandId('old'), { ...report(1, 2), isPaused: true }, NOW, 0)
  assert.equal(choose(engines, paused, { lastBeginAt }), null)
  const saturated = createBackEndTracker.createBackEndTracker(() => NOW)
  saturated.noteReport(types.brandId('old'), report(1, 2), NOW - 200, 200)
  assert.equal(choose(engines, saturated, { lastBeginAt }), null)
})

nodeTest.test('an engine that is about to switch versions loses to one that is not', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
  tracker.noteReport(types.brandId('changing'), { ...report(1, 2), changesInMs: 100 }, NOW, 0)
  tracker.noteReport(types.brandId('staying'), report(1, 4), NOW, 0)
  assert.equal(choose([createEngine('changing', 1), createEngine('staying', 1, 'b')], tracker), 'staying')
})

nodeTest.test('a call may be sent to a healthy, idle engine later than to others, but not without limit', () => {
  const lastBeginAt = (version: number): number => version < 2 ? NOW - 300 : Infinity
  const engines = [createEngine('old', 1)]
  const idle = createBackEndTracker.createBackEndTracker(() => NOW)
  idle.noteReport(types.brandId('old'), report(1, 2), NOW, 0)
  assert.equal(choose(engines, idle, { lastBeginAt }), null)
  assert.equal(choose(engines, idle, { lastBeginAt, pinnedVersion: 1 }), null, 'the link to it may be saturated')
  idle.noteConnect(types.brandId('old'), 4)
  assert.equal(choose(engines, idle, { lastBeginAt }), 'old')
  assert.equal(choose(engines, idle, { lastBeginAt, pinnedVersion: 1 }), 'old')
  assert.equal(choose(engines, idle, { lastBeginAt, pinnedVersion: 1, tried: new Set([types.brandId<types.NodeId>('mute')]) }), null, 'a second attempt may also be delayed')
  assert.equal(choose(engines, idle, { lastBeginAt: () => NOW - 800 }), null, 'its first event may come too late')
  const queued = createBackEndTracker.createBackEndTracker(() => NOW)
  queued.noteReport(types.brandId('old'), report(1, 2, 1), NOW, 0)
  queued.noteConnect(types.brandId('old'), 4)
  assert.equal(choose(engines, queued, { lastBeginAt, pinnedVersion: 1 }), null)
  const saturated = createBackEndTracker.createBackEndTracker(() => NOW)
  saturated.noteReport(types.brandId('old'), report(1, 2), NOW, 0)
  saturated.noteConnect(types.brandId('old'), 160)
  assert.equal(choose(engines, saturated, { lastBeginAt, pinnedVersion: 1 }), null)
  const unknown = createBackEndTracker.createBackEndTracker(() => NOW)
  assert.equal(choose(engines, unknown, { lastBeginAt, pinnedVersion: 1 }), null)
})

nodeTest.test('the choice names an older version and its bound, and none for the newest version', () => {
  const versionBoundAt = (version: number): number => version < 2 ? NOW + 3000 : Infinity
  const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
  assert.deepEqual(chooseAmong([createEngine('old', 1)], tracker, { versionBoundAt }).choice?.olderVersion, { version: 1, boundAt: NOW + 3000 })
  assert.equal(chooseAmong([createEngine('new', 2)], tracker, { versionBoundAt }).choice?.olderVersion, null)
})

nodeTest.test('a resumed stream avoids engines that switch versions soon, because it can move only once', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
  tracker.noteReport(types.brandId('soon'), { ...report(1, 2), changesInMs: 600 }, NOW, 0)
  tracker.noteReport(types.brandId('later'), { ...report(1, 12), changesInMs: 1600 }, NOW, 0)
  const engines = [createEngine('soon', 1), createEngine('later', 1)]
  assert.equal(choose(engines, tracker, { pinnedVersion: 1 }), 'later')
})

nodeTest.test('calls interrupted by a version switch do not make the engine avoided', () => {
  const id = types.brandId<types.NodeId>('changed')
  const paused = createBackEndTracker.createBackEndTracker(() => NOW)
  paused.noteReport(id, { ...report(1, 2), isPaused: true }, NOW, 0)
  paused.noteFailure(id)
  assert.equal(paused.read(id).avoidedUntil, 0)
  const late = createBackEndTracker.createBackEndTracker(() => NOW)
  late.noteReport(id, report(1, 2), NOW, 0)
  late.noteFailure(id)
  assert.ok(late.read(id).avoidedUntil > NOW)
  late.noteReport(id, report(2, 0), NOW, 0)
  assert.equal(late.read(id).avoidedUntil, 0)
})

nodeTest.test('utilization counts reports and the calls of all gateways since, for plain back ends only own calls', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
  const engines = [createEngine('one', 1), createEngine('other', 1)]
  tracker.noteReport(types.brandId('one'), report(1, 6, 2), NOW - 100, 0)
  tracker.noteReport(types.brandId('other'), report(1, 0), NOW - 100, 0)
  tracker.noteSent(types.brandId('other'), { promptTokens: 1000, answerTokens: 100, sentAt: NOW - 50, hasResponded: false })
  assert.equal(chooseAmong(engines, tracker, { gateways: 4 }).utilization, (8 + 4) / 32)
  assert.equal(chooseAmong(engines, tracker, { gateways: 4, figures: null, model: null }).utilization, 1 / 32)
  assert.equal(chooseAmong([], tracker).utilization, 1)
})

/**
 * Guards against gateways that have just started and send several calls at once to an instance that ended with a loss of power but is still listed: the calls
 * spent the retry budget there and were refused.
 */
nodeTest.test('an instance known only from the list gets one call at a time until it has responded or reported', () => {
  const id = types.brandId<types.NodeId>('listed')
  const engines = [createEngine('listed', 1)]
  const attempt = { promptTokens: 1000, answerTokens: 100, sentAt: NOW, hasResponded: false }
  const create = (): createBackEndTracker.BackEndTracker => {
    const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
    assert.equal(choose(engines, tracker, { mustConfirm: true }), 'listed')
    tracker.noteSent(id, attempt)
    assert.deepEqual(chooseAmong(engines, tracker, { mustConfirm: true }).passedOver, { unconfirmed: 1 })
    assert.equal(choose(engines, tracker), 'listed')
    return tracker
  }
  const reported = create()
  reported.noteReport(id, report(1, 1), NOW, 0)
  assert.equal(choose(engines, reported, { mustConfirm: true }), 'listed')
  const responded = create()
  attempt.hasResponded = true
  assert.equal(choose(engines, responded, { mustConfirm: true }), 'listed')
  responded.noteEnded(id, attempt)
  responded.noteSuccess(id)
  responded.noteSent(id, { ...attempt, hasResponded: false })
  assert.equal(choose(engines, responded, { mustConfirm: true }), 'listed')
})
