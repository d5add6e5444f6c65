/** Deadlines after a suspension of the gateway's machine, during which its timers stopped while its callers' timers went on. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as clock from '@switchridge/clock'
import * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOST = '127.0.0.1'
const CALL_MS = 60_000
const SUSPENDED_MS = 120_000
/** The steady clock trusts the machine's uptime once the two have agreed for a second. */
const CLOCK_PROBATION_MS = 1300

interface SuspendedMachine extends clock.MachineClocks {
  /** Simulates a suspension of this length that ends now. */
  readonly suspend: (milliseconds: number) => void
}

function createMachine (): SuspendedMachine {
  let lostMs = 0
  return {
    monotonic: () => performance.now(),
    timeOfDay: () => Date.now() + lostMs,
    uptime: () => performance.now() + lostMs,
    suspend: (milliseconds) => { lostMs += milliseconds }
  }
}

nodeTest.test('a call whose deadline passed while the machine was suspended gets its final response at once', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure((configuration) => { for (const route of configuration.routes) route['timeoutMs'] = CALL_MS })
  const engine = await fleet.startEngine({ id: 'i-1' }, 'api')
  const machine = createMachine()
  const address = await fleet.startGateway(HOST, [], machine)
  await fleetTesting.waitUntilServed(address, '/read/probe')
  await types.delay(CLOCK_PROBATION_MS)
  Object.assign(engine.faults, { next: 'mute', count: 1 })
  const waiting = fleetTesting.call(address, { method: 'POST', path: '/write/1', id: 'w-1', headers: { 'deadline-remaining': String(CALL_MS) } })
  await fleetTesting.waitUntil(() => engine.arrivals.some(({ requestId }) => requestId === 'w-1'))
  machine.suspend(SUSPENDED_MS)
  assert.equal((await waiting).status, 504)
})

nodeTest.test('a gateway whose grace period passed while the machine was suspended stops right after it, with a response to each call', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure((configuration) => { for (const route of configuration.routes) route['timeoutMs'] = 2 * SUSPENDED_MS })
  const engine = await fleet.startEngine({ id: 'i-1' }, 'api')
  const machine = createMachine()
  const address = await fleet.startGateway(HOST, [], machine)
  await fleetTesting.waitUntilServed(address, '/read/probe')
  await types.delay(CLOCK_PROBATION_MS)
  Object.assign(engine.faults, { next: 'mute', count: 1 })
  const waiting = fleetTesting.call(address, { method: 'POST', path: '/write/1', id: 'w-1', headers: { 'deadline-remaining': String(2 * SUSPENDED_MS) } })
  await fleetTesting.waitUntil(() => engine.arrivals.some(({ requestId }) => requestId === 'w-1'))
  const draining = fleet.drainGateway(HOST)
  machine.suspend(SUSPENDED_MS)
  assert.equal((await waiting).status, 504)
  await draining
})

/** Guards against a gateway that takes its own pause for silence of its engines and refuses calls for want of one. */
for (const pausedMs of [2000, 10_000]) {
  nodeTest.test(`a gateway whose machine was suspended for ${pausedMs} ms refuses no call for want of engines that never went away`, async (context) => {
    const fleet = await fleetTesting.createTestFleet(context)
    fleet.configure(() => {})
    for (const id of ['i-1', 'i-2']) await fleet.startEngine({ id }, 'api')
    const machine = createMachine()
    const address = await fleet.startGateway(HOST, [], machine)
    await fleetTesting.waitUntilServed(address, '/read/probe')
    await types.delay(CLOCK_PROBATION_MS)
    machine.suspend(pausedMs)
    const statuses = await Promise.all(Array.from({ length: 8 }, async (_, index) => (await fleetTesting.call(address, { method: 'POST', path: `/write/${index}`, id: `w-${index}` })).status))
    assert.deepEqual(statuses, Array.from({ length: 8 }, () => 200))
  })
}
