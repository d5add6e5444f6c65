/** Guards against a holder that still trusts a lease which expired while its machine was suspended: it must notice before it sends an order. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as clock from '@switchridge/clock'
import * as store from '@switchridge/store'

const DURATION_MS = 10_000
const OPTIONS = { durationMs: DURATION_MS, marginMs: 2000 }

nodeTest.test('a holder that was suspended for longer than the lease duration no longer holds the lease', async () => {
  let monotonicMs = 0
  let suspendedMs = 0
  const { now } = clock.createSteadyClock({ monotonic: () => monotonicMs, timeOfDay: () => monotonicMs + suspendedMs, uptime: () => monotonicMs + suspendedMs })
  const advance = (milliseconds: number): void => {
    monotonicMs += milliseconds
    now()
  }
  advance(2000)
  const objects = store.createMemoryObjectStore()
  const lease = store.createLease(objects, 'engine/cluj-1', 'holder', { ...OPTIONS, now })
  assert.ok((await lease.acquire()).ok)
  advance(1000)
  assert.equal(lease.currentGeneration(), 1)
  suspendedMs = DURATION_MS
  assert.equal(lease.currentGeneration(), null)
})
