import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as expectsBody from './index.js'

nodeTest.test('a success needs a body unless its status allows none; other responses hold without one', () => {
  assert.deepEqual([200, 201, 206, 299].filter((status) => !expectsBody.expectsBody(status)), [])
  assert.deepEqual([205, 300, 304, 404, 500, 503].filter(expectsBody.expectsBody), [])
})
