import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as platform from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createClaims from './index.js'

const ACCOUNT = types.brandId<types.AccountId>('tiler')
const SERVICE = types.brandId<types.ServiceName>('stoc')
const ANSWER: createClaims.KeptAnswer = { status: 200, contentType: 'application/json', version: '', body: Buffer.from('{}') }

function open () {
  const store = platform.createMemoryObjectStore()
  const clock = { now: 0 }
  const claims = createClaims.createClaims(store, () => clock.now)
  return { store, clock, claims, take: async (key = 'k') => await claims.take(ACCOUNT, SERVICE, key) }
}

test.describe('createClaims', () => {
  test.it('gives a key to one request and its answer to those that come again', async () => {
    const { take } = open()
    const first = await take()
    assert.ok(first.kind === 'taken')
    assert.equal((await take()).kind, 'held')
    await first.claim.finish(ANSWER)
    assert.deepEqual(await take(), { kind: 'answered', answer: ANSWER })
  })

  test.it('takes long keys whole', async () => {
    const { take } = open()
    assert.equal((await take('k'.repeat(300) + '1')).kind, 'taken')
    assert.equal((await take('k'.repeat(300) + '2')).kind, 'taken')
  })

  test.it('gives the key again when the call did not run', async () => {
    const { take } = open()
    const first = await take()
    assert.ok(first.kind === 'taken')
    await first.claim.withdraw()
    assert.equal((await take()).kind, 'taken')
  })

  test.it('knows its own claim after a lost answer, and runs nothing without a platform', async () => {
    const { store } = open()
    const lossy: platform.ObjectStore = { ...store, write: async (...write) => { await store.write(...write); return types.fail(new types.UnavailableError('lost')) } }
    assert.equal((await createClaims.createClaims(lossy, () => 0).take(ACCOUNT, SERVICE, 'k')).kind, 'taken')
    const down: platform.ObjectStore = { ...lossy, write: async () => types.fail(new types.UnavailableError('down')), read: async () => types.fail(new types.UnavailableError('down')) }
    assert.equal((await createClaims.createClaims(down, () => 0).take(ACCOUNT, SERVICE, 'other')).kind, 'unavailable')
  })

  test.it('keeps keys of accounts and services apart, and sweeps old ones', async () => {
    const { claims, clock, take } = open()
    assert.equal((await take()).kind, 'taken')
    assert.equal((await claims.take(types.brandId('roofer'), SERVICE, 'k')).kind, 'taken')
    clock.now = 25 * 3600 * 1000
    assert.equal(await claims.sweep(), 2)
  })
})
