import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createBackEndBook from './index.js'

const ID = types.brandId<types.NodeId>('engine')
const NEWS: createBackEndBook.AgentNews = {
  isPaused: false,
  changesInMs: null,
  report: { bornAt: null, running: 1, waiting: 0, isBusy: false, sequence: 0, pace: 1, limitPerSecond: null, models: new Map() }
}

interface PlayedReports {
  readonly book: createBackEndBook.BackEndBook
  readonly pass: (milliseconds: number) => void
}

/** A book that hears of one engine at even intervals, each time `agoMs` after the agent said it. */
function playReports (gapMs: number, agoMs: number, count: number): PlayedReports {
  let time = 10_000
  const book = createBackEndBook.createBackEndBook(() => time)
  for (let heard = 0; heard < count; heard += 1) {
    time += gapMs
    book.noteReport(ID, NEWS, time - agoMs, 0)
  }
  return { book, pass: (milliseconds) => { time += milliseconds } }
}

nodeTest.test('an agent that tells its gateway often is silent soon, and what it said counts for little longer', () => {
  const { book, pass } = playReports(350, 20, 20)
  pass(1000)
  assert.equal(book.read(ID).isSilent, false)
  pass(100)
  assert.equal(book.read(ID).isSilent, true)
  assert.notEqual(book.read(ID).report, null)
  pass(400)
  assert.equal(book.read(ID).report, null)
})

nodeTest.test('an agent of which relays tell seldom, as in a large fleet, is not taken for silent between two tellings', () => {
  const { book, pass } = playReports(2400, 700, 20)
  pass(2300)
  assert.equal(book.read(ID).isSilent, false)
  assert.notEqual(book.read(ID).report, null)
  pass(3000)
  assert.equal(book.read(ID).isSilent, true)
  pass(2000)
  assert.equal(book.read(ID).report, null)
})

nodeTest.test('one long silence does not make an agent that tells often count as present for long', () => {
  const { book, pass } = playReports(350, 20, 20)
  pass(7000)
  book.noteReport(ID, NEWS, 10_000 + 20 * 350 + 7000, 0)
  pass(2200)
  assert.equal(book.read(ID).isSilent, true)
})

/** What an engine tells in the life that began then. */
function tellLife (bornAt: number | null, running: number): createBackEndBook.AgentNews {
  return { ...NEWS, report: { ...NEWS.report, bornAt, running, sequence: running, models: new Map([['m', running]]) } }
}

nodeTest.test('an engine that starts again under its id is used again, and nothing of its earlier life counts', () => {
  const book = createBackEndBook.createBackEndBook(() => 10_000)
  const open = { promptTokens: 900, answerTokens: 10, sentAt: 9000, hasBegun: false }
  book.noteReport(ID, tellLife(1000, 7), 9990, 0)
  book.noteSent(ID, open)
  book.noteFailure(ID)
  book.noteGone(ID)
  assert.equal(book.read(ID).isGone, true)
  book.noteReport(ID, tellLife(2000, 0), 9980, 0)
  const load = book.read(ID)
  assert.equal(load.isGone, false)
  assert.equal(load.avoidedUntil, 0)
  assert.equal(load.open.size, 0)
  assert.equal(load.report?.models.get('m'), 0)
  book.noteEnded(ID, open)
  assert.equal(book.read(ID).open.size, 0)
})

nodeTest.test('a report of an earlier life never replaces one of a later life, however it was delayed', () => {
  const book = createBackEndBook.createBackEndBook(() => 10_000)
  book.noteReport(ID, tellLife(2000, 0), 9900, 0)
  book.noteReport(ID, tellLife(1000, 7), 9990, 0)
  assert.equal(book.read(ID).report?.running, 0)
})

nodeTest.test('service discovery that lists a later life ends the earlier one before its agent tells of it', () => {
  const book = createBackEndBook.createBackEndBook(() => 10_000)
  book.noteReport(ID, tellLife(1000, 7), 9990, 0)
  book.noteGone(ID)
  book.keepOnly([{ id: ID, bornAt: 1000 }])
  assert.equal(book.read(ID).isGone, true)
  book.keepOnly([{ id: ID, bornAt: 2000 }])
  assert.equal(book.read(ID).isGone, false)
  assert.equal(book.read(ID).report, null)
  book.keepOnly([{ id: ID, bornAt: 1000 }])
  book.noteReport(ID, tellLife(1000, 7), 9995, 0)
  assert.equal(book.read(ID).report, null)
})

nodeTest.test('an engine that does not tell when its life began stays in one life', () => {
  const book = createBackEndBook.createBackEndBook(() => 10_000)
  book.noteReport(ID, tellLife(null, 1), 9900, 0)
  book.noteGone(ID)
  book.noteReport(ID, tellLife(null, 2), 9990, 0)
  assert.equal(book.read(ID).isGone, true)
  assert.equal(book.read(ID).report?.running, 2)
})

nodeTest.test('a back end whose process ended gets nothing until its agent hears it again, or its entry should be gone', () => {
  const { book, pass } = playReports(350, 20, 3)
  const time = 10_000 + 3 * 350
  book.noteProcessEnded(ID)
  assert.equal(book.read(ID).isGone, true)
  pass(100)
  book.noteReport(ID, NEWS, time + 80, 20)
  assert.equal(book.read(ID).isGone, true, 'the report may have been under way')
  pass(400)
  book.noteReport(ID, NEWS, time + 480, 20)
  assert.equal(book.read(ID).isGone, false)
  book.noteProcessEnded(ID)
  pass(4000)
  assert.equal(book.read(ID).isGone, false)
})
