/** Overload of a large fleet, whose gateways hear of engines seldom. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as loadSimulation from '../_lib/loadSimulation.js'

/** Engines of eight slots that read and write more slowly than those of the smaller sites. */
const FIGURES = { ...loadSimulation.FIGURES, slots: 8, stepMs: 13.9, prefillTokensPerMs: 13.8, usualAnswerTokens: 71 }
const FLEET = { halls: 5, gateways: 98, engines: 84, seconds: 12, figures: FIGURES, reportsMs: { near: 700, far: 2200 } }
const LOADS = [200, 300, 500]
const KEPT_PART = 0.9

nodeTest.test('answers in time of 98 gateways before 84 engines do not fall while more is asked than engines can do', (context) => {
  const results = LOADS.map((callsPerSecond) => loadSimulation.playLoad({ ...FLEET, callsPerSecond }))
  for (const { asked, inTime, late, refused } of results) context.diagnostic(`${asked.toFixed(1)} asked a second: ${inTime.toFixed(1)} in time, ${late.toFixed(1)} late, ${refused.toFixed(1)} refused`)
  const peak = Math.max(...results.map(({ inTime }) => inTime))
  const last = results.at(-1)?.inTime ?? 0
  assert.ok(last >= KEPT_PART * peak, `${last} of ${peak} a second in time`)
})
