import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as identity from './index.js'

const IDENTITY = { deployment: 'depozit', sharedKey: 'a-key-of-some-length' }

test.describe('checkIdentityHeaders', () => {
  test.it('accepts the headers of the same identity', () => {
    assert.ok(identity.checkIdentityHeaders(IDENTITY, identity.createIdentityHeaders(IDENTITY)).ok)
  })

  const cases: Array<[string, Record<string, string>, RegExp]> = [
    ['another deployment', identity.createIdentityHeaders({ ...IDENTITY, deployment: 'flagwright' }), /deployment "flagwright" is not "depozit"/],
    ['a wrong key', identity.createIdentityHeaders({ ...IDENTITY, sharedKey: 'another-key-of-length' }), /shared key/],
    ['an old protocol', { ...identity.createIdentityHeaders(IDENTITY), [identity.PROTOCOL_HEADER]: '0' }, /protocol version 0/]
  ]
  for (const [name, headers, message] of cases) {
    test.it(`refuses ${name} with the reason`, () => {
      const outcome = identity.checkIdentityHeaders(IDENTITY, headers)
      assert.ok(!outcome.ok)
      assert.match(outcome.error.message, message)
    })
  }
})
