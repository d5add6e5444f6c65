/** Overload of large fleets, whose gateways receive engine reports less often. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as loadSimulation from '../_lib/loadSimulation.js'

/** Engines with eight slots that read prompts and generate tokens more slowly than the default ones. */
const LARGE_ENGINES = { ...loadSimulation.FIGURES, slots: 8, stepMs: 13.9, prefillTokensPerMs: 13.8, usualAnswerTokens: 71 }
const LARGE_FLEET = { halls: 5, gateways: 98, engines: 84, seconds: 12, figures: LARGE_ENGINES, reportIntervalsMs: { near: 700, far: 2200 } }
/** 40 gateways and 45 engines with 12 slots; callers retry once. */
const MEDIUM_ENGINES = { ...loadSimulation.FIGURES, slots: 12, stepMs: 8.87, stepMsPerSequence: 0.0388, prefillTokensPerMs: 19.1, usualPromptTokens: 900, usualAnswerTokens: 97 }
const MEDIUM_FLEET = { halls: 3, gateways: 40, engines: 45, seconds: 12, figures: MEDIUM_ENGINES, reportIntervalsMs: { near: 500, far: 1100 }, doCallersRetry: true }
const MEDIUM_LOADS = [230, 300, 380, 450]
const DOUBLED_LOADS = [300, 600]
const LARGE_LOADS = [200, 300, 500]
const PEAK_FRACTION = 0.9

function check (context: nodeTest.TestContext, results: readonly loadSimulation.LoadResult[]): void {
  for (const { asked, inTime, late, refused } of results) context.diagnostic(`${asked.toFixed(1)} asked a second: ${inTime.toFixed(1)} in time, ${late.toFixed(1)} late, ${refused.toFixed(1)} refused`)
  const peak = Math.max(...results.map(({ inTime }) => inTime))
  const last = results.at(-1)?.inTime ?? 0
  assert.ok(last >= PEAK_FRACTION * peak, `${last} of ${peak} a second in time`)
}

/** Guards against admission by the free slots of the chosen engine alone: it served 226 calls per second in time at 300 asked, but 161 at 500. */
nodeTest.test('responses in time of 98 gateways with 84 engines do not fall under overload', (context) => {
  check(context, LARGE_LOADS.map((callsPerSecond) => loadSimulation.simulateLoad({ ...LARGE_FLEET, callsPerSecond })))
})

/** The same failure: 257 calls per second in time at 300 asked, but 181 at 380. */
nodeTest.test('responses in time of 40 gateways with 45 engines do not fall while callers retry', (context) => {
  check(context, MEDIUM_LOADS.map((callsPerSecond) => loadSimulation.simulateLoad({ ...MEDIUM_FLEET, callsPerSecond })))
})

nodeTest.test('responses in time of 40 gateways with 45 engines do not fall at twice the capacity of the engines', (context) => {
  check(context, DOUBLED_LOADS.map((callsPerSecond) => loadSimulation.simulateLoad({ ...MEDIUM_FLEET, callsPerSecond })))
})

/** 58 gateways with 28 engines: at 260 calls a second and more, 203 to 226 were in time and 36 to 86 late when gateways went by their own predictions alone. */
const MANY_GATEWAYS = { halls: 3, gateways: 58, engines: 28, seconds: 12, figures: { ...loadSimulation.FIGURES, slots: 12, stepMs: 7.4, stepMsPerSequence: 0.02, prefillTokensPerMs: 31.9, usualPromptTokens: 950 }, reportIntervalsMs: { near: 600, far: 1500 }, doCallersRetry: true }
const MANY_GATEWAYS_LOADS = [100, 200, 260, 320, 400, 520]
/** Calls in time with confirmed slots are at least this multiple of those without, where the load exceeds the capacity. */
const CONFIRMED_GAIN = 1.1
const OVERLOAD_PER_SECOND = 260
const LATE_FRACTION = 0.1

/** Guards against gateways that outnumber engines and all send calls to the engine that old reports show as free. */
nodeTest.test('gateways that confirm slots with agents serve more calls in time under overload, and no fewer below it', (context) => {
  for (const callsPerSecond of MANY_GATEWAYS_LOADS) {
    const [own, confirmed] = [false, true].map((doGatewaysConfirm) => loadSimulation.simulateLoad({ ...MANY_GATEWAYS, callsPerSecond, doGatewaysConfirm })) as [loadSimulation.LoadResult, loadSimulation.LoadResult]
    for (const [name, { asked, inTime, late, refused }] of Object.entries({ own, confirmed })) context.diagnostic(`${name}: ${asked.toFixed(1)} asked a second: ${inTime.toFixed(1)} in time, ${late.toFixed(1)} late, ${refused.toFixed(1)} refused`)
    assert.ok(confirmed.inTime / confirmed.asked >= own.inTime / own.asked * (callsPerSecond >= OVERLOAD_PER_SECOND ? CONFIRMED_GAIN : 0.99), `${confirmed.inTime} and ${own.inTime} a second in time`)
    assert.ok(confirmed.late <= LATE_FRACTION * (confirmed.inTime + confirmed.late), `${confirmed.late} a second late`)
  }
})
