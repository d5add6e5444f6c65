/** Calls that wait for the engines' return after a loss of power. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as loadSimulation from '../_lib/loadSimulation.js'

/** 36 engines of 12 slots, which serve about 295 of these calls a second. */
const FIGURES = { ...loadSimulation.FIGURES, slots: 12, stepMs: 8.87, stepMsPerSequence: 0.0388, prefillTokensPerMs: 19.1, usualPromptTokens: 900, usualAnswerTokens: 97 }
const GAP = { lengthMs: 5000, returnOverMs: 1500, errorFraction: 0.3, leavingFraction: 0.1 }
const GATEWAYS = [7, 34, 58]
const FULL_CALLS_PER_SECOND = 485
const LOWER_CALLS_PER_SECOND = [150, 230]
const SERVED_FRACTION = 0.9

function simulate (gateways: number, callsPerSecond: number, waiting: loadSimulation.GapScenario['waiting'], more: Partial<loadSimulation.GapScenario> = {}): loadSimulation.GapResult {
  const { gap } = loadSimulation.simulateLoad({ halls: 3, gateways, engines: 36, callsPerSecond, seconds: 17, figures: FIGURES, reportIntervalsMs: { near: 500, far: 1100 }, doCallersRetry: true, gap: { ...GAP, waiting, ...more } })
  assert.ok(gap !== null)
  return gap
}

function describe ({ asked, served, inTime, held, heldRefused }: loadSimulation.GapResult): string {
  return `${asked} asked, ${served} served, ${inTime} in time, ${held} held, ${heldRefused} of them refused`
}

/**
 * Guards against engines that get far more calls than they can begin when they return, because all gateways see the same free slots, and against calls that
 * are held in vain.
 */
for (const doGatewaysRestart of [false, true]) {
  nodeTest.test(`at full load as many calls are served after a gap as the engines can, and none is held in vain, ${doGatewaysRestart ? 'with gateways that restart' : 'with gateways that stay up'}`, (context) => {
    for (const gateways of GATEWAYS) {
      const oracle = simulate(gateways, FULL_CALLS_PER_SECOND, 'oracle')
      const result = simulate(gateways, FULL_CALLS_PER_SECOND, 'gateways', { doGatewaysRestart })
      context.diagnostic(`${gateways} gateways: ${describe(result)}; with full knowledge: ${describe(oracle)}`)
      assert.ok(result.served >= SERVED_FRACTION * oracle.served, `${result.served} of ${oracle.served} served`)
      assert.equal(result.heldRefused, 0)
      assert.ok(result.maximumAtEngine <= FIGURES.slots, `${result.maximumAtEngine} calls at one engine`)
    }
  })
}

/** The same at lower loads, where most calls that can be served have waited. Their number is not bounded here: see docs/design/waiting.md. */
nodeTest.test('at lower loads no call is held in vain, and no engine gets more calls than it has slots', (context) => {
  for (const callsPerSecond of LOWER_CALLS_PER_SECOND) {
    for (const gateways of GATEWAYS) {
      for (const doGatewaysRestart of [false, true]) {
        const result = simulate(gateways, callsPerSecond, 'gateways', { doGatewaysRestart })
        context.diagnostic(`${callsPerSecond} a second, ${gateways} gateways${doGatewaysRestart ? ' that restart' : ''}: ${describe(result)}`)
        assert.equal(result.heldRefused, 0)
        assert.ok(result.maximumAtEngine <= FIGURES.slots, `${result.maximumAtEngine} calls at one engine`)
      }
    }
  }
})
