/** Guards against gateways that end or exceed their memory because the store answers with tiny chunks without end. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as testing from '@switchridge/platform-testing'
import * as fleetTesting from '../_lib/fleetTesting.js'
import * as programTesting from '../_lib/programTesting.js'

const HOST = '127.0.0.63'
const LIMIT = { timeout: 60_000 }
const HEAP_OPTION = '--max-old-space-size=160'
/** The memory of a gateway's machine. */
const MAXIMUM_GATEWAY_BYTES = 350_000_000
/** After so many answers each further one would take as much as those before. */
const ANSWERS = 3
/** Less would not show what is held of an answer. */
const MINIMUM_BYTES_PER_ANSWER = 65_536
const ANSWER: testing.EndlessAnswer = { headers: { 'content-type': 'application/json' }, begin: '{"items":[],"events":[],"at":1,"filler":"', part: '1\r\nx\r\n'.repeat(10_000), isFramed: true }

for (const operation of ['list', 'watch'] as const) {
  nodeTest.test(`a ${operation} of the store in chunks of one byte without end: the gateway lives within its memory and answers`, LIMIT, async (context) => {
    const fleet = await fleetTesting.createTestFleet(context)
    fleet.configure()
    const proxy = await testing.createEndlessProxy(fleet.store.address, ({ url = '' }) => url.includes('watch=') === (operation === 'watch') ? ANSWER : null)
    context.after(() => { proxy.close() })
    const gateway = programTesting.startProgram(context, programTesting.formatGatewaySettings({ ...fleet, store: { ...fleet.store, address: proxy.address } }, HOST, 'memory_megabytes = 350\n'), { nodeOptions: HEAP_OPTION })
    await gateway.waitForOutput('event=started')
    await fleetTesting.waitUntil(() => (proxy.begun() >= ANSWERS && proxy.open() < proxy.begun()) || gateway.child.exitCode !== null || gateway.child.signalCode !== null)
    assert.equal(gateway.child.signalCode, null)
    assert.ok(proxy.sentBytes() > ANSWERS * MINIMUM_BYTES_PER_ANSWER, `${proxy.sentBytes()} bytes of ${proxy.begun()} answers`)
    const peakBytes = programTesting.readPeakMemoryBytes(gateway)
    assert.ok(peakBytes < MAXIMUM_GATEWAY_BYTES, `${peakBytes} bytes`)
    assert.notEqual((await fleetTesting.call({ host: HOST, port: fleet.ports.callers }, { path: '/read/stock', id: 'call' })).status, 0)
    context.diagnostic(`${peakBytes} bytes; sent ${proxy.sentBytes()} bytes in ${proxy.begun()} answers`)
  })
}
