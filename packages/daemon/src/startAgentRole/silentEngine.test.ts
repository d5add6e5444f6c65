/** Guards against calls to an engine that has just taken its last order late, when its agent had no answer from it for seconds: gateways then go by the engine's own entry. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const GATEWAY_HOST = '127.0.0.1'
const AGENT_HOST = '127.0.0.11'
const PIECES = 8
const OLD_VERSION = 1
const NEW_VERSION = 2
const SILENCE_MS = 4000
const CALL_INTERVAL_MS = 20
const TEST_TIMEOUT_MS = 30_000

nodeTest.test('an engine that is silent and then takes its last order with a bad piece gets no calls before its layers are replaced', { timeout: TEST_TIMEOUT_MS }, async (context) => {
  const fleet = await fleetTesting.createTestFleet(context, PIECES)
  fleet.configure()
  const gateway = await fleet.startGateway(GATEWAY_HOST)
  const engine = await fleet.startEngine({ id: 'i-0', model: fleetTesting.MODEL, version: OLD_VERSION, reportsStart: true, digestsOf: fleet.origin.digestsOf })
  for (let piece = 0; piece < PIECES; piece += 1) engine.stage.set(piece, fleet.origin.pieceOf(OLD_VERSION, piece))
  const agent = await fleet.startAgent(AGENT_HOST, engine, [GATEWAY_HOST])
  await fleetTesting.waitUntil(() => agent.countPeers() === 1)
  let silences = 0
  engine.hooks.onOrder = ({ source, targetVersion, version }) => {
    if (version !== NEW_VERSION || source > 0 || targetVersion < 4 || silences > 0) return
    silences += 1
    engine.spoilPiece(PIECES - 1)
    Object.assign(engine.delays, { orderMs: SILENCE_MS, reportMs: SILENCE_MS, stageReadMs: SILENCE_MS })
    setTimeout(() => { Object.assign(engine.delays, { orderMs: 0, reportMs: 0, stageReadMs: 0 }) }, SILENCE_MS)
  }
  fleet.store.put('versions', fleetTesting.MODEL, { model: fleetTesting.MODEL, version: NEW_VERSION })
  let isServed = false
  let isEntryWritten = false
  let calls = 0
  while (!isServed) {
    void fleetTesting.callService(gateway, fleetTesting.STREAM_SERVICE, `call-${calls++}`).then(({ status, headers }) => {
      if (status === 200 && headers['weight-versions'] === String(NEW_VERSION)) isServed = true
    })
    if (engine.version() === NEW_VERSION && !isEntryWritten) {
      isEntryWritten = true
      fleet.store.put('servers', engine.id, testing.describeEngine(engine, 'llm', 'zone-a', { name: fleetTesting.MODEL, version: NEW_VERSION }))
    }
    await types.delay(CALL_INTERVAL_MS)
  }
  const taken = engine.acceptedOrders.filter(({ version }) => version === NEW_VERSION).map(({ source, targetVersion, badPieces }) => ({ source, targetVersion, bad: badPieces.length }))
  context.diagnostic(JSON.stringify(taken))
  assert.ok(taken.some(({ bad }) => bad > 0))
  assert.deepEqual(engine.faultyAnswers, [])
})
