import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as gateway from '../types/index.js'
import * as createSlotReservations from './index.js'

const FIGURES: gateway.EngineFigures = {
  slots: 4, models: ['m'], layers: 1, chunks: 1, chunkBytes: 1, stepMs: 10, stepMsPerSequence: 0, prefillTokensPerMs: 10, usualPromptTokens: 1000, usualAnswerTokens: 100
}
const REQUEST: createSlotReservations.SlotRequest = { promptTokens: 500, withinMs: 500 }

function createReport (running: number, waiting = 0): gateway.EngineReport {
  return { bornAt: null, running, waiting, isBusy: false, sequence: 0, pace: 1, limitPerSecond: null, isLeaving: false, models: new Map([['m', 1]]) }
}

/** Creates the reservations of an engine with the given report, at time 0. */
function createReservations (report: gateway.EngineReport | null): { time: number, readonly slots: createSlotReservations.SlotReservations, readonly reserve: (change?: Partial<createSlotReservations.SlotRequest>) => boolean } {
  const engine = { time: 0 }
  const slots = createSlotReservations.createSlotReservations(() => engine.time)
  slots.noteReport(report)
  return Object.assign(engine, { slots, reserve: (change = {}) => slots.reserve({ ...REQUEST, ...change }, FIGURES) })
}

nodeTest.test('a slot is reserved once, and free again if a later report does not include its call', () => {
  const engine = createReservations(createReport(3))
  assert.equal(engine.reserve(), true)
  assert.equal(engine.reserve(), false)
  engine.time = 200
  engine.slots.noteReport(createReport(3))
  assert.equal(engine.reserve(), true)
})

nodeTest.test('a reserved call that may not have reached the engine yet is added to the report', () => {
  const engine = createReservations(createReport(3))
  engine.time = 190
  assert.equal(engine.reserve(), true)
  engine.time = 200
  engine.slots.noteReport(createReport(3))
  assert.equal(engine.reserve(), false)
})

nodeTest.test('no slot is reserved for a call that would be late because of its own prompt or earlier ones', () => {
  assert.equal(createReservations(createReport(0)).reserve({ promptTokens: 4000 }), false)
  assert.equal(createReservations(createReport(0)).reserve({ withinMs: 150 }), false)
  const engine = createReservations(createReport(0))
  assert.deepEqual([engine.reserve({ promptTokens: 1500 }), engine.reserve({ promptTokens: 1500 })], [true, false])
  assert.equal(createReservations(createReport(1, 3)).reserve(), false)
})

nodeTest.test('a discount on a call\'s own prompt leaves out its own reading time, not that of earlier calls or a queue', () => {
  assert.equal(createReservations(createReport(0)).reserve({ promptTokens: 4000, promptDiscount: 0.5 }), true)
  const engine = createReservations(createReport(0))
  assert.deepEqual([4000, 500, 4000].map((promptTokens) => engine.reserve({ promptTokens, promptDiscount: 1 })), [true, false, false])
  assert.equal(createReservations(createReport(4)).reserve({ promptDiscount: 1 }), false)
})

nodeTest.test('no slot is reserved without a recent report of an engine that holds weights', () => {
  assert.equal(createReservations(null).reserve(), false)
  assert.equal(createReservations({ ...createReport(0), models: new Map() }).reserve(), false)
  const engine = createReservations(createReport(0))
  engine.time = 1000
  assert.equal(engine.reserve(), false)
})
