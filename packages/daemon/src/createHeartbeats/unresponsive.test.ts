/** Guards against a paused entry node that delays the heartbeats of all daemons to the others: each round waited for its answer, so that rounds took twice as long and live daemons came close to the silence limit. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as settings from '@switchridge/settings'
import type * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as createCommonParts from '../createCommonParts/index.js'
import * as createHeartbeats from './index.js'

const ROUNDS = 20
const LONGEST_ROUND_MS = 1.1 * types.HEARTBEAT_INTERVAL_MS
const TIMEOUT_MS = 1000
const RESPONSIVE_PORT = 9
const SETTINGS = `deployment = "test"
data_hall = "hall"
region = "region"
role = "entry"
node = "entry"
entry_nodes = ["127.0.0.1:${RESPONSIVE_PORT}", "127.0.0.1:10"]
[listen]
host = "127.0.0.1"
port = 0
caller_port = 0
[platform]
url = "http://127.0.0.1:9"
[origin]
url = "http://127.0.0.1:9"
[logs]
level = "silent"
`

nodeTest.test('an unresponsive daemon does not delay the heartbeats to others', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 0 })
  const parsed = settings.parseSettings(SETTINGS, 'test')
  assert.ok(parsed.ok)
  const parts = createCommonParts.createCommonParts(parsed.value)
  let received = 0
  const client = {
    call: async (address: types.Address) => {
      if (address.port === RESPONSIVE_PORT) received += 1
      else await types.delay(TIMEOUT_MS)
      return types.fail(new Error('no answer'))
    }
  } as unknown as rpc.RpcClient
  const heartbeats = createHeartbeats.createHeartbeats({
    self: createCommonParts.createInitialFacts(parts, { host: types.LOOPBACK_HOST, port: 2 }),
    view: parts.view,
    keeper: parts.keeper,
    client,
    seeds: createCommonParts.readSeeds(parsed.value),
    readLoad: () => null,
    noteLoad: () => {},
    onRefresh: () => {},
    random: () => 0.5
  })
  heartbeats.start()
  for (let passedMs = 0; passedMs < ROUNDS * LONGEST_ROUND_MS; passedMs += 10) {
    context.mock.timers.tick(10)
    await new Promise((resolve) => { setImmediate(resolve) })
  }
  heartbeats.stop()
  parts.liveness.stop()
  parts.metrics.close()
  assert.ok(received >= ROUNDS, `${received} heartbeats`)
})
