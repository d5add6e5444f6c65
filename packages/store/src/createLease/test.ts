import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as memory from '../createMemoryObjectStore/index.js'
import * as createLease from './index.js'

const DURATION_MS = 10_000
const MARGIN_MS = 2000

function createPair () {
  const clock = { first: 0, second: 0 }
  const store = memory.createMemoryObjectStore()
  const lease = (holder: 'first' | 'second') => createLease.createLease(store, 'engine/a', holder, {
    durationMs: DURATION_MS, marginMs: MARGIN_MS, now: () => clock[holder]
  })
  return { clock, store, first: lease('first'), second: lease('second') }
}

test.describe('createLease', () => {
  test.it('gives one holder the lease and the next holder a higher generation', async () => {
    const { clock, first, second } = createPair()
    assert.deepEqual(await first.acquire(), types.succeed(1))
    const refused = await second.acquire()
    assert.ok(!refused.ok && refused.error instanceof createLease.LeaseHeldError)
    assert.equal(refused.error.waitMs, DURATION_MS)
    clock.second = DURATION_MS
    assert.deepEqual(await second.acquire(), types.succeed(2))
  })

  test.it('is invalid for a holder that was paused into the safety margin', async () => {
    const { clock, first } = createPair()
    await first.acquire()
    clock.first = DURATION_MS - MARGIN_MS - 1
    assert.equal(first.currentGeneration(), 1)
    clock.first += 1
    assert.equal(first.currentGeneration(), null)
  })

  test.it('restarts the wait when the holder renews', async () => {
    const { clock, first, second } = createPair()
    await first.acquire()
    await second.acquire()
    clock.second = DURATION_MS - 1
    clock.first = DURATION_MS - 1
    await first.acquire()
    clock.second = DURATION_MS
    assert.ok(!(await second.acquire()).ok)
    clock.second = 2 * DURATION_MS
    assert.deepEqual(await second.acquire(), types.succeed(2))
  })

  test.it('can be acquired at once after a release', async () => {
    const { first, second } = createPair()
    await first.acquire()
    await first.release()
    assert.equal(first.currentGeneration(), null)
    assert.deepEqual(await second.acquire(), types.succeed(2))
  })

  test.it('measures validity from before the write, so that a slow response shortens it', async () => {
    const { clock, store } = createPair()
    const slow: typeof store = { ...store, write: async (...write) => { clock.first = 5000; return await store.write(...write) } }
    const lease = createLease.createLease(slow, 'engine/b', 'first', { durationMs: DURATION_MS, marginMs: MARGIN_MS, now: () => clock.first })
    await lease.acquire()
    clock.first = DURATION_MS - MARGIN_MS
    assert.equal(lease.currentGeneration(), null)
  })

  test.it('renews after a lost response without a new generation', async () => {
    const { store } = createPair()
    let isAnswerLost = true
    const lossy: typeof store = {
      ...store,
      write: async (...write) => {
        const written = await store.write(...write)
        return isAnswerLost ? types.fail(new types.UnavailableError('answer lost')) : written
      }
    }
    const lease = createLease.createLease(lossy, 'engine/c', 'first', { durationMs: DURATION_MS, marginMs: MARGIN_MS, now: () => 0 })
    assert.ok(!(await lease.acquire()).ok)
    assert.equal(lease.currentGeneration(), null)
    isAnswerLost = false
    assert.deepEqual(await lease.acquire(), types.succeed(1))
  })
})
