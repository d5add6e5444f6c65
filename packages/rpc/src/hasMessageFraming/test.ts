import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as hasMessageFraming from './index.js'

nodeTest.test('a response is framed if it has a length or chunks, or can have no body', () => {
  const isFramed = (statusCode: number, method: string, headers: Readonly<Record<string, string>> = {}): boolean => hasMessageFraming.hasMessageFraming({ statusCode, headers }, method)
  assert.equal(isFramed(200, 'GET'), false)
  assert.equal(isFramed(500, 'POST'), false)
  assert.equal(isFramed(200, 'GET', { 'content-length': '0' }), true)
  assert.equal(isFramed(200, 'GET', { 'transfer-encoding': 'chunked' }), true)
  assert.deepEqual([isFramed(200, 'HEAD'), isFramed(204, 'POST'), isFramed(304, 'GET')], [true, true, true])
})
