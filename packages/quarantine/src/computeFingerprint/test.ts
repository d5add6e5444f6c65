import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as types from '@switchridge/types'
import * as computeFingerprint from './index.js'

const CALL: computeFingerprint.CallIdentity = { account: types.brandId<types.AccountId>('tenant-one'), method: 'POST', host: 'quotes.example', path: '/quotes/1?page=2', body: Buffer.from('roof') }

nodeTest.test('a call that is sent again has the same fingerprint', () => {
  const again = { ...CALL, body: Buffer.from('roof') }
  assert.equal(computeFingerprint.computeFingerprint(again), computeFingerprint.computeFingerprint(CALL))
  assert.ok(computeFingerprint.isFingerprint(computeFingerprint.computeFingerprint(CALL)))
  for (const other of ['', 'with space', 'A', 7, null]) assert.ok(!computeFingerprint.isFingerprint(other))
})

nodeTest.test('calls that differ in account, method, host, path, query or body have different fingerprints', () => {
  const others: computeFingerprint.CallIdentity[] = [
    CALL,
    { ...CALL, account: types.brandId<types.AccountId>('tenant-two') },
    { ...CALL, account: null },
    { ...CALL, method: 'PUT' },
    { ...CALL, host: 'stock.example' },
    { ...CALL, path: '/quotes/1?page=3' },
    { ...CALL, body: Buffer.from('roof ') },
    { ...CALL, body: null }
  ]
  assert.equal(new Set(others.map(computeFingerprint.computeFingerprint)).size, others.length)
})

nodeTest.test('moving characters from the path to the body changes the fingerprint', () => {
  const text = fastCheck.string()
  fastCheck.assert(fastCheck.property(text, text, text, text, (host, path, body, moved) => {
    const one = computeFingerprint.computeFingerprint({ ...CALL, host, path: path + moved, body: Buffer.from(body) })
    const other = computeFingerprint.computeFingerprint({ ...CALL, host, path, body: Buffer.from(moved + body) })
    assert.equal(one === other, moved === '')
  }), { seed: 7 })
})
