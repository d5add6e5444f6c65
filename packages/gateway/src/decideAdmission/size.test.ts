/** Overload of a large fleet, whose gateways hear of engines seldom. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as loadSimulation from '../_lib/loadSimulation.js'

/** Engines of eight slots that read and write more slowly than those of the smaller sites. */
const FIGURES = { ...loadSimulation.FIGURES, slots: 8, stepMs: 13.9, prefillTokensPerMs: 13.8, usualAnswerTokens: 71 }
const FLEET = { halls: 5, gateways: 98, engines: 84, seconds: 12, figures: FIGURES, reportsMs: { near: 700, far: 2200 } }
/** 40 gateways before 45 engines of 12 slots, whose callers come back once. */
const MIDDLE_FIGURES = { ...loadSimulation.FIGURES, slots: 12, stepMs: 8.87, stepMsPerSequence: 0.0388, prefillTokensPerMs: 19.1, usualPromptTokens: 900, usualAnswerTokens: 97 }
const MIDDLE_FLEET = { halls: 3, gateways: 40, engines: 45, seconds: 12, figures: MIDDLE_FIGURES, reportsMs: { near: 500, far: 1100 }, areReturning: true }
const MIDDLE_LOADS = [230, 300, 380, 450]
const TWICE_LOADS = [300, 600]
const LOADS = [200, 300, 500]
const KEPT_PART = 0.9

function check (context: nodeTest.TestContext, results: readonly loadSimulation.LoadResult[]): void {
  for (const { asked, inTime, late, refused } of results) context.diagnostic(`${asked.toFixed(1)} asked a second: ${inTime.toFixed(1)} in time, ${late.toFixed(1)} late, ${refused.toFixed(1)} refused`)
  const peak = Math.max(...results.map(({ inTime }) => inTime))
  const last = results.at(-1)?.inTime ?? 0
  assert.ok(last >= KEPT_PART * peak, `${last} of ${peak} a second in time`)
}

/** Each call admitted by the room of the engine chosen for it: 226 a second in time at 300 asked, and 161 at 500. */
nodeTest.test('answers in time of 98 gateways before 84 engines do not fall while more is asked than engines can do', (context) => {
  check(context, LOADS.map((callsPerSecond) => loadSimulation.playLoad({ ...FLEET, callsPerSecond })))
})

/** The same: 257 a second in time at 300 asked, and 181 at 380. */
nodeTest.test('answers in time of 40 gateways before 45 engines do not fall while callers come back', (context) => {
  check(context, MIDDLE_LOADS.map((callsPerSecond) => loadSimulation.playLoad({ ...MIDDLE_FLEET, callsPerSecond })))
})

nodeTest.test('answers in time of 40 gateways before 45 engines do not fall at twice what engines can do', (context) => {
  check(context, TWICE_LOADS.map((callsPerSecond) => loadSimulation.playLoad({ ...MIDDLE_FLEET, callsPerSecond })))
})
