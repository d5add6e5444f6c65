import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as platform from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createClaims from './index.js'

const ACCOUNT = types.brandId<types.AccountId>('tiler')
const SERVICE = types.brandId<types.ServiceName>('stoc')
const ANSWER: createClaims.StoredAnswer = { status: 200, contentType: 'application/json', version: '', body: Buffer.from('{}') }

function createFixture () {
  const store = platform.createMemoryObjectStore()
  const clock = { now: 0 }
  const claims = createClaims.createClaims(store, () => clock.now)
  return { store, clock, claims, acquire: async (key = 'k') => await claims.acquire(ACCOUNT, SERVICE, key) }
}

test.describe('createClaims', () => {
  test.it('grants a key to one request and replays its answer to repeated ones', async () => {
    const { acquire } = createFixture()
    const first = await acquire()
    assert.ok(first.kind === 'taken')
    assert.equal((await acquire()).kind, 'held')
    await first.claim.finish(ANSWER)
    assert.deepEqual(await acquire(), { kind: 'answered', answer: ANSWER })
  })

  test.it('distinguishes long keys by all their characters', async () => {
    const { acquire } = createFixture()
    assert.equal((await acquire('k'.repeat(300) + '1')).kind, 'taken')
    assert.equal((await acquire('k'.repeat(300) + '2')).kind, 'taken')
  })

  test.it('grants the key again after a release', async () => {
    const { acquire } = createFixture()
    const first = await acquire()
    assert.ok(first.kind === 'taken')
    await first.claim.release()
    assert.equal((await acquire()).kind, 'taken')
  })

  test.it('recognizes its own claim when the answer to the write was lost, and grants none while the platform is unavailable', async () => {
    const { store } = createFixture()
    const lossy: platform.ObjectStore = { ...store, write: async (...write) => { await store.write(...write); return types.fail(new types.UnavailableError('lost')) } }
    assert.equal((await createClaims.createClaims(lossy, () => 0).acquire(ACCOUNT, SERVICE, 'k')).kind, 'taken')
    const down: platform.ObjectStore = { ...lossy, write: async () => types.fail(new types.UnavailableError('down')), read: async () => types.fail(new types.UnavailableError('down')) }
    assert.equal((await createClaims.createClaims(down, () => 0).acquire(ACCOUNT, SERVICE, 'other')).kind, 'unavailable')
  })

  test.it('separates the keys of accounts, and sweeps expired claims', async () => {
    const { claims, clock, acquire } = createFixture()
    assert.equal((await acquire()).kind, 'taken')
    assert.equal((await claims.acquire(types.brandId('roofer'), SERVICE, 'k')).kind, 'taken')
    clock.now = 25 * 3600 * 1000
    assert.equal(await claims.sweep(), 2)
  })
})
