/** Guards against calls that are cut by a start that fails: the caller port was open while the readiness address was still being opened. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as programTesting from './_lib/programTesting.js'

const HOST = '127.0.0.51'
const TEST_TIMEOUT_MS = 60_000
const CALLS = 8
const POLL_MS = 50
const UNRESOLVED_HOST = 'unresolved.test'
/** The address is found to be invalid so late that a gateway serves calls by then if it accepts any. */
const RESOLVE_LATE = `import dns from "node:dns";const{lookup}=dns;dns.lookup=(host,...rest)=>host==="${UNRESOLVED_HOST}"?setTimeout(rest.at(-1),2500,Error("${UNRESOLVED_HOST} not found")):lookup(host,...rest)`

nodeTest.test('a gateway whose readiness address cannot be opened cuts no streams and exits with an error', { timeout: TEST_TIMEOUT_MS }, async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'i-1', ...fleetTesting.STREAM_SERVICE.engine, events: 12, eventMs: 100 })
  const settings = programTesting.formatGatewaySettings(fleet, HOST).replace(`readiness = "${HOST}`, `readiness = "${UNRESOLVED_HOST}`)
  const gateway = programTesting.startProgram(context, settings, { nodeOptions: `--import=data:text/javascript,${encodeURIComponent(RESOLVE_LATE)}` })
  const wholeIds = new Set<string>()
  await Promise.all(Array.from({ length: CALLS }, async (_, index) => {
    for (let attempt = 0; gateway.child.exitCode === null; attempt += 1) {
      const id = `${index}-${attempt}`
      const { isWhole } = await fleetTesting.callService({ host: HOST, port: fleet.ports.callers }, fleetTesting.STREAM_SERVICE, id)
      if (isWhole) wholeIds.add(id)
      await types.delay(POLL_MS)
    }
  }))
  assert.deepEqual(engine.arrivals.filter(({ requestId }) => !wholeIds.has(requestId)).map(({ requestId }) => requestId), [])
  assert.equal(await gateway.ended, 1)
  assert.match(gateway.output(), new RegExp(`${UNRESOLVED_HOST} not found`))
  assert.match(gateway.output(), /event=exit code=1/)
})
