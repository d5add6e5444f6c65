/** Overload of fleets of several sizes: guards against gateways that refuse calls while engines are idle because their reports are old. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as loadSimulation from '../_lib/loadSimulation.js'

const LARGE_ENGINES = { ...loadSimulation.FIGURES, slots: 8, stepMs: 13.9, prefillTokensPerMs: 13.8, usualAnswerTokens: 71 }
const MEDIUM_ENGINES = { ...loadSimulation.FIGURES, slots: 12, stepMs: 8.87, stepMsPerSequence: 0.0388, prefillTokensPerMs: 19.1, usualPromptTokens: 900, usualAnswerTokens: 97 }
const FACTORS = [1, 1.5, 2, 3]
/** Fleets, with the approximate number of calls per second that their engines serve in time. */
const FLEETS = [
  { plan: { halls: 3, gateways: 7, engines: 9, doCallersRetry: true }, capacity: 75, seconds: 20, factors: FACTORS },
  { plan: { halls: 3, gateways: 16, engines: 18, reportIntervalsMs: { near: 400, far: 1000 }, doCallersRetry: true }, capacity: 150, seconds: 12, factors: FACTORS },
  { plan: { halls: 3, gateways: 40, engines: 45, figures: MEDIUM_ENGINES, reportIntervalsMs: { near: 500, far: 1100 }, doCallersRetry: true }, capacity: 300, seconds: 8, factors: FACTORS },
  { plan: { halls: 5, gateways: 98, engines: 84, figures: LARGE_ENGINES, reportIntervalsMs: { near: 700, far: 2200 } }, capacity: 300, seconds: 6, factors: FACTORS },
  { plan: { halls: 5, gateways: 183, engines: 160, figures: LARGE_ENGINES, reportIntervalsMs: { near: 900, far: 2500 } }, capacity: 500, seconds: 4, factors: [1, 1.5, 2] }
]
const SEEDS = [1, 2, 3, 5, 7]
const PEAK_FRACTION = 0.9

for (const { plan, capacity, seconds, factors } of FLEETS) {
  nodeTest.test(`responses in time of ${plan.gateways} gateways with ${plan.engines} engines do not fall at up to ${factors.at(-1)} times the load`, (context) => {
    for (const seed of SEEDS) {
      let peak = 0
      const results = factors.map((factor) => loadSimulation.simulateLoad({ ...plan, seconds, seed, callsPerSecond: capacity * factor }).inTime)
      context.diagnostic(`seed ${seed}: ${results.map((inTime) => inTime.toFixed(0)).join(' ')} a second in time`)
      for (const inTime of results) {
        assert.ok(inTime >= PEAK_FRACTION * peak, `seed ${seed}: ${inTime} of ${peak} a second in time`)
        peak = Math.max(peak, inTime)
      }
    }
  })
}
