import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createBackEndBook from './index.js'

const ID = types.brandId<types.NodeId>('engine')
const NEWS: createBackEndBook.AgentNews = {
  isPaused: false,
  changesInMs: null,
  report: { running: 1, waiting: 0, isBusy: false, sequence: 0, pace: 1, models: new Map() }
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
