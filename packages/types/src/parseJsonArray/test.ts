import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as parseJsonArray from './index.js'

nodeTest.test('parses an array and returns an empty one for anything else', () => {
  assert.deepEqual(parseJsonArray.parseJsonArray(Buffer.from('["s",1]')), ['s', 1])
  for (const text of ['', '{"a":1}', '7', '["s",']) assert.deepEqual(parseJsonArray.parseJsonArray(Buffer.from(text)), [])
})
