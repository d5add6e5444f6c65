/**
 * Callers saw: for two seconds of each change of version more than a third of the calls was late, although engines had places free before.
 * Order of events: engines changed in three waves; the last one, which ends what runs and is out of service for two seconds, began while the second one
 * was still out.
 * Evidence, on this play: at the worst moment calls waited 321 ms with the three waves, and 62 to 231 ms now.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as computeTurn from './index.js'

const ENGINES = 15
/** Calls a second that an engine serves: 16 at a time, 1.1 s each. */
const ENGINE_RATE = 14.5
/** Calls a second, 0.76 of what all engines serve. */
const LOAD = 165
/** Milliseconds out of service of an engine that breaks off what runs, and of one that ends it. */
const OUT_MS = { 'break-off': 700, finish: 2000 } as const
const STEP_MS = 10
const BOUND_AT = 8000
const WORST_WAIT_MS = 300

/** Milliseconds that the calls which are waiting at the worst moment take to be served. */
function playWorstWait (wholeAt: number): number {
  const turns = Array.from({ length: ENGINES }, (_, rank) => computeTurn.computeTurn({ held: 1, rank, engines: ENGINES, wholeAt, boundAt: BOUND_AT }))
  let waiting = 0
  let worstMs = 0
  for (let now = wholeAt; now < BOUND_AT + 4000; now += STEP_MS) {
    const serving = turns.filter(({ at, method }) => now < at || now >= at + OUT_MS[method]).length
    waiting = Math.max(0, waiting + (LOAD - serving * ENGINE_RATE) * STEP_MS / 1000)
    worstMs = Math.max(worstMs, waiting * 1000 / (ENGINES * ENGINE_RATE))
  }
  return worstMs
}

nodeTest.test('callers wait little while engines change their version at three quarters of their load', (context) => {
  for (const wholeAt of [4000, 4400, 4800]) {
    const worstMs = playWorstWait(wholeAt)
    context.diagnostic(`whole at ${wholeAt}: ${Math.round(worstMs)} ms`)
    assert.ok(worstMs <= WORST_WAIT_MS, `whole at ${wholeAt} ms: ${worstMs} ms`)
  }
})
