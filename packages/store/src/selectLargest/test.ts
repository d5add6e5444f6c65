import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as selectLargest from './index.js'

nodeTest.test('the largest are selected until the others stay within the bound', () => {
  const select = (sizes: number[], maximumTotal: number): number[] => [...selectLargest.selectLargest(sizes, maximumTotal)].sort()
  assert.deepEqual(select([1, 9, 5], 15), [])
  assert.deepEqual(select([1, 9, 5], 6), [1])
  assert.deepEqual(select([1, 9, 5], 5), [1, 2])
  assert.deepEqual(select([1, 9, 5], 0), [0, 1, 2])
  assert.deepEqual(select([], 0), [])
})
