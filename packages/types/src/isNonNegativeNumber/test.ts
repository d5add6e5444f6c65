import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as isNonNegativeNumber from './index.js'

nodeTest.test('accepts finite numbers that are not negative', () => {
  assert.deepEqual([0, 7, 0.5].map(isNonNegativeNumber.isNonNegativeNumber), [true, true, true])
  assert.deepEqual([-1, NaN, Infinity, '7', null].map(isNonNegativeNumber.isNonNegativeNumber), [false, false, false, false, false])
})
