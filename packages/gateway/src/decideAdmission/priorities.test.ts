/** Routes of different priorities that compete for too few engines. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as loadSimulation from '../_lib/loadSimulation.js'

const ENGINES = { ...loadSimulation.FIGURES, slots: 12, stepMsPerSequence: 0.0232, usualPromptTokens: 954, usualAnswerTokens: 95 }
const FLEET = { halls: 3, gateways: 34, engines: 32, figures: ENGINES, reportIntervalsMs: { near: 500, far: 1100 }, doCallersRetry: true, seconds: 12 }
const TOTAL_PARTS = 149 + 188 + 104
/** The least urgent calls have the longest target. */
const CLASSES: readonly loadSimulation.StreamClass[] = [
  { part: 188 / TOTAL_PARTS, promptTokens: 827, events: 21, targetMs: 400, priority: 0 },
  { part: 104 / TOTAL_PARTS, promptTokens: 647, events: 14, targetMs: 400, priority: 1 },
  { part: 149 / TOTAL_PARTS, promptTokens: 1330, events: 21, targetMs: 1000, priority: 2 }
]
const LOADS = [150, 230, 300, 400]
/** A kind of call may be served this much less often than a less urgent one. */
const SERVED_DIFFERENCE = 0.05
const EQUAL_PRIORITY_FRACTION = 0.97

/** Guards against the longer target of the lowest priority that admits its calls where those of the highest are refused. */
nodeTest.test('no priority is served less often than a lower one, and all calls together as often as with equal priorities', (context) => {
  for (const callsPerSecond of LOADS) {
    const ranked = loadSimulation.simulateLoad({ ...FLEET, callsPerSecond, classes: CLASSES })
    const equal = loadSimulation.simulateLoad({ ...FLEET, callsPerSecond, classes: CLASSES.map((each) => ({ ...each, priority: 0 })) })
    const served = ranked.kinds.map(({ asked, inTime, late }) => (inTime + late) / asked)
    const equallyServed = equal.kinds.map(({ asked, inTime, late }) => (inTime + late) / asked)
    context.diagnostic(`${callsPerSecond} asked a second: served ${served.map((each) => each.toFixed(2)).join(' ')}, in time ${(ranked.inTime / ranked.asked).toFixed(3)}; equal priorities ${equallyServed.map((each) => each.toFixed(2)).join(' ')}, ${(equal.inTime / equal.asked).toFixed(3)}`)
    served.slice(1).forEach((each, at) => { assert.ok(each <= (served[at] as number) + SERVED_DIFFERENCE, `served ${served.join()}`) })
    assert.ok(ranked.inTime / ranked.asked >= EQUAL_PRIORITY_FRACTION * equal.inTime / equal.asked, `${ranked.inTime} of ${ranked.asked} in time, ${equal.inTime} of ${equal.asked} with equal priorities`)
  }
})
