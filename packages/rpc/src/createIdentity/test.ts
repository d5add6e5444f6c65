import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as identity from './index.js'

const HOME = { deployment: 'depozit', sharedKey: 'a-key-of-some-length' }

test.describe('checkIdentityHeaders', () => {
  test.it('takes its own headers', () => {
    assert.ok(identity.checkIdentityHeaders(HOME, identity.createIdentityHeaders(HOME)).ok)
  })

  const cases: Array<[string, Record<string, string>, RegExp]> = [
    ['another deployment', identity.createIdentityHeaders({ ...HOME, deployment: 'flagwright' }), /deployment "flagwright" is not "depozit"/],
    ['a wrong key', identity.createIdentityHeaders({ ...HOME, sharedKey: 'another-key-of-length' }), /shared key/],
    ['an old protocol', { ...identity.createIdentityHeaders(HOME), [identity.PROTOCOL_HEADER]: '0' }, /protocol version 0/]
  ]
  for (const [name, headers, message] of cases) {
    test.it(`refuses ${name} and says so`, () => {
      const outcome = identity.checkIdentityHeaders(HOME, headers)
      assert.ok(!outcome.ok)
      assert.match(outcome.error.message, message)
    })
  }
})
