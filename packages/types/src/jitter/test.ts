import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as jitter from './index.js'

nodeTest.test('the delay lies between the minimum fraction and the whole', () => {
  assert.equal(jitter.jitter(300, 0.5, 0), 150)
  assert.equal(jitter.jitter(300, 0.5, 0.5), 225)
  assert.equal(jitter.jitter(300, 0.5, 1), 300)
})
