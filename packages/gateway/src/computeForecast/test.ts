import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as computeForecast from './index.js'

const HOLD_MS = 1500
const RETURNING = { slots: 12, freeSlots: 12, readyInMs: 1000 }

function forecast (engines: readonly computeForecast.ForecastEngine[]): computeForecast.Forecast {
  const computed = computeForecast.computeForecast(engines, HOLD_MS)
  assert.ok(computed !== null)
  return computed
}

/** Guards against calls that are held although nobody knows whether an engine returns. */
nodeTest.test('there is no forecast without engines', () => {
  assert.equal(computeForecast.computeForecast([], HOLD_MS), null)
})

/** Guards against calls that are held for an engine that may return after they had to begin. */
nodeTest.test('an engine counts from the latest time at which it may return, and at best from the earliest', () => {
  const one = forecast([RETURNING])
  assert.equal(one.countStarts(1300), 0)
  assert.equal(one.countStarts(1600), 12)
  assert.equal(one.countStartsAtBest(700), 0)
  assert.equal(one.countStartsAtBest(800), 12)
  assert.equal(one.computeWaitMs(12), 1000)
  assert.equal(one.computeWaitMs(1_000_000), Infinity)
})

/** Guards against the pessimism of single estimates adding up over a fleet: few calls would be held, and returned engines would be idle. */
nodeTest.test('independent errors of many engines average out', () => {
  const fleet = forecast(Array.from({ length: 36 }, () => RETURNING))
  assert.equal(fleet.countStarts(1200), 0)
  assert.equal(fleet.countStarts(1600), 36 * 12)
})

nodeTest.test('slots are used again after a call has ended', () => {
  const serving = forecast([{ slots: 12, freeSlots: 2, readyInMs: 0 }])
  assert.equal(serving.countStarts(0), 2)
  assert.equal(serving.countStarts(HOLD_MS), 14)
})

/** Guards against an invented figure: without the speeds of the engines, nothing waits. */
nodeTest.test('the time for which a call occupies a slot is unknown if a figure is missing', () => {
  const figures = { slots: 12, models: ['m'], layers: 1, chunks: 1, chunkBytes: 1, stepMs: 10, stepMsPerSequence: 0, prefillTokensPerMs: 20, usualPromptTokens: 900, usualAnswerTokens: 100 }
  assert.equal(computeForecast.computeHoldMs(figures, 1000, 0), 1650)
  assert.equal(computeForecast.computeHoldMs(figures, 1000, 50), 850)
  assert.equal(computeForecast.computeHoldMs({ ...figures, stepMs: null }, 1000, 50), null)
  assert.equal(computeForecast.computeHoldMs({ ...figures, usualAnswerTokens: null }, 1000, 0), null)
})
