import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as isNestedDeeper from './index.js'

nodeTest.test('objects and arrays count as levels, and brackets in texts don\'t', () => {
  const text = JSON.stringify([{ a: ['[[[{{', '\\"[[[', '"', { 'b[{': [] }] }, [], [[]]])
  assert.equal(isNestedDeeper.isNestedDeeper(text, 5), false)
  assert.equal(isNestedDeeper.isNestedDeeper(text, 4), true)
  assert.deepEqual([isNestedDeeper.isNestedDeeper('1', 0), isNestedDeeper.isNestedDeeper('[]', 0), isNestedDeeper.isNestedDeeper(']]]"[', 0)], [false, true, false])
})
