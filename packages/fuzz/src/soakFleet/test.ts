/** Guards against calls that are refused, cut, run twice or answered wrongly while processes are paused, drained, restarted and killed, and the table changes. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as soakFleet from './index.js'

/** Seeds that failed before; more by hand with `npm run fuzz -- --soak`. */
const SEEDS = [15, 25, 43]
const DURATION_MS = 10_000

for (const seed of SEEDS) {
  nodeTest.test(`callers get what is promised while a fleet of processes is disturbed, seed ${seed}`, async (context) => {
    const { calls, disturbances, problems } = await soakFleet.soakFleet({ seed, durationMs: DURATION_MS })
    context.diagnostic(`${disturbances} disturbances; ${JSON.stringify(calls)}`)
    assert.deepEqual(problems, [])
  })
}
