import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createBackEndTracker from './index.js'

const ID = types.brandId<types.NodeId>('engine')
const STATUS: createBackEndTracker.AgentStatus = {
  isPaused: false,
  changesInMs: null,
  report: { bornAt: null, running: 1, waiting: 0, isBusy: false, sequence: 0, pace: 1, limitPerSecond: null, isLeaving: false, models: new Map() }
}

interface RecordedReports {
  readonly tracker: createBackEndTracker.BackEndTracker
  readonly advance: (milliseconds: number) => void
}

/** Creates a tracker that receives reports of one engine at regular intervals; each report is `reportAgeMs` old on arrival. */
function recordReports (intervalMs: number, reportAgeMs: number, count: number): RecordedReports {
  let time = 10_000
  const tracker = createBackEndTracker.createBackEndTracker(() => time)
  for (let heard = 0; heard < count; heard += 1) {
    time += intervalMs
    tracker.noteReport(ID, STATUS, time - reportAgeMs, 0)
  }
  return { tracker, advance: (milliseconds) => { time += milliseconds } }
}

nodeTest.test('the report of an agent that reports often is soon overdue, and unused a little later', () => {
  const { tracker, advance } = recordReports(350, 20, 20)
  advance(1000)
  assert.equal(tracker.read(ID).isReportOverdue, false)
  advance(100)
  assert.equal(tracker.read(ID).isReportOverdue, true)
  assert.notEqual(tracker.read(ID).report, null)
  advance(400)
  assert.equal(tracker.read(ID).report, null)
})

nodeTest.test('the report of an agent that is relayed rarely, as in a large fleet, is not overdue between two arrivals', () => {
  const { tracker, advance } = recordReports(2400, 700, 20)
  advance(2300)
  assert.equal(tracker.read(ID).isReportOverdue, false)
  assert.notEqual(tracker.read(ID).report, null)
  advance(3000)
  assert.equal(tracker.read(ID).isReportOverdue, true)
  advance(2000)
  assert.equal(tracker.read(ID).report, null)
})

nodeTest.test('one long gap between reports does not extend the time limits of an agent that reports often', () => {
  const { tracker, advance } = recordReports(350, 20, 20)
  advance(7000)
  tracker.noteReport(ID, STATUS, 10_000 + 20 * 350 + 7000, 0)
  advance(2200)
  assert.equal(tracker.read(ID).isReportOverdue, true)
})

/** Status of the engine instance that started at `bornAt`. */
function createInstanceStatus (bornAt: number | null, running: number): createBackEndTracker.AgentStatus {
  return { ...STATUS, report: { ...STATUS.report, bornAt, running, sequence: running, models: new Map([['m', running]]) } }
}

nodeTest.test('an engine that restarts under its id is used again, without the state of its earlier instance', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => 10_000)
  const open = { promptTokens: 900, answerTokens: 10, sentAt: 9000, hasResponded: false }
  tracker.noteReport(ID, createInstanceStatus(1000, 7), 9990, 0)
  tracker.noteSent(ID, open)
  tracker.noteFailure(ID)
  tracker.noteInstanceEnded(ID)
  assert.equal(tracker.read(ID).isGone, true)
  tracker.noteReport(ID, createInstanceStatus(2000, 0), 9980, 0)
  const load = tracker.read(ID)
  assert.equal(load.isGone, false)
  assert.equal(load.avoidedUntil, 0)
  assert.equal(load.open.size, 0)
  assert.equal(load.report?.models.get('m'), 0)
  tracker.noteEnded(ID, open)
  assert.equal(tracker.read(ID).open.size, 0)
})

nodeTest.test('a delayed report of an earlier instance never replaces one of a later instance', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => 10_000)
  tracker.noteReport(ID, createInstanceStatus(2000, 0), 9900, 0)
  tracker.noteReport(ID, createInstanceStatus(1000, 7), 9990, 0)
  assert.equal(tracker.read(ID).report?.running, 0)
})

nodeTest.test('a later instance listed by service discovery replaces the earlier one before its agent reports', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => 10_000)
  tracker.noteReport(ID, createInstanceStatus(1000, 7), 9990, 0)
  tracker.noteInstanceEnded(ID)
  tracker.keepOnly([{ id: ID, bornAt: 1000 }])
  assert.equal(tracker.read(ID).isGone, true)
  tracker.keepOnly([{ id: ID, bornAt: 2000 }])
  assert.equal(tracker.read(ID).isGone, false)
  assert.equal(tracker.read(ID).report, null)
  tracker.keepOnly([{ id: ID, bornAt: 1000 }])
  tracker.noteReport(ID, createInstanceStatus(1000, 7), 9995, 0)
  assert.equal(tracker.read(ID).report, null)
})

nodeTest.test('an engine that gives no start time counts as one instance', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => 10_000)
  tracker.noteReport(ID, createInstanceStatus(null, 1), 9900, 0)
  tracker.noteInstanceEnded(ID)
  tracker.noteReport(ID, createInstanceStatus(null, 2), 9990, 0)
  assert.equal(tracker.read(ID).isGone, true)
  assert.equal(tracker.read(ID).report?.running, 2)
})

nodeTest.test('an engine that rejected a call because it holds no complete version is used again once the same instance has reported', () => {
  let time = 10_000
  const tracker = createBackEndTracker.createBackEndTracker(() => time)
  tracker.noteReport(ID, createInstanceStatus(1000, 1), 9900, 0)
  tracker.noteInstanceEnded(ID)
  tracker.noteReport(ID, createInstanceStatus(1000, 1), 10_100, 0)
  assert.equal(tracker.read(ID).isGone, true, 'the report may have been sent before the end')
  time = 10_500
  tracker.noteReport(ID, createInstanceStatus(1000, 1), 10_500, 0)
  assert.equal(tracker.read(ID).isGone, false)
  tracker.noteInstanceEnded(ID)
  assert.equal(tracker.read(ID).isGone, true)
})

nodeTest.test('a back end whose process ended is unavailable until its agent reports again, or until it should no longer be listed', () => {
  const { tracker, advance } = recordReports(350, 20, 3)
  const time = 10_000 + 3 * 350
  tracker.noteProcessEnded(ID)
  assert.equal(tracker.read(ID).isGone, true)
  advance(100)
  tracker.noteReport(ID, STATUS, time + 80, 20)
  assert.equal(tracker.read(ID).isGone, true, 'the report may have been sent before the end')
  advance(400)
  tracker.noteReport(ID, STATUS, time + 480, 20)
  assert.equal(tracker.read(ID).isGone, false)
  tracker.noteProcessEnded(ID)
  advance(4000)
  assert.equal(tracker.read(ID).isGone, false)
})

/** Guards against calls that wait for an engine that serves already, or in vain for one whose agent is silent. */
nodeTest.test('the time of an engine\'s return is known until it serves, and not for long after its agent\'s last report', () => {
  let time = 10_000
  const tracker = createBackEndTracker.createBackEndTracker(() => time)
  assert.equal(tracker.read(ID).readyAt, null)
  tracker.noteReport(ID, { ...STATUS, readyInMs: 4000 }, time - 100, 0)
  assert.equal(tracker.read(ID).readyAt, 13_900)
  time += 2500
  assert.equal(tracker.read(ID).readyAt, 13_900)
  time += 1000
  assert.equal(tracker.read(ID).readyAt, null)
  assert.equal(tracker.read(ID).returnedAt, -Infinity)
  tracker.noteReport(ID, { ...STATUS, report: { ...STATUS.report, models: new Map([['m', 1]]) } }, time, 0)
  assert.equal(tracker.read(ID).readyAt, null)
  assert.equal(tracker.read(ID).returnedAt, time)
})
