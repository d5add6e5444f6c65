/** Guards against calls that are cut, refused, run twice or answered wrongly while gateways and agents are terminated, reloaded, paused and killed, and the configuration changes. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as soakGateways from './index.js'

/** Seeds that failed before, with planned work alone, with kills and pauses, with silent engines, with stages that turn stale, and with peers that send without end; more by hand with `npm run fuzz -- --soak-gateways`. */
const SEEDS = [2, 8, 9, 246, 301, 402]

for (const seed of SEEDS) {
  nodeTest.test(`callers get what is promised while gateways and agents are disturbed, seed ${seed}`, async (context) => {
    const { calls, disturbances, problems, keptFolder } = await soakGateways.soakGateways({ seed })
    context.diagnostic(`${JSON.stringify(disturbances)}; ${JSON.stringify(calls)}; ${keptFolder ?? 'nothing kept'}`)
    assert.deepEqual(problems.map(({ rule, text }) => `${rule} ${text}`), [])
  })
}
