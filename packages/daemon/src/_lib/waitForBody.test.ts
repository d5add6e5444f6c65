/** Guards against calls that wait for the body of a response that is gone until their deadline. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as stream from 'node:stream'
import * as types from '@switchridge/types'
import * as waitForBody from './waitForBody.js'

const LIMIT = { timeout: 5000 }

function createResponse (): stream.Readable {
  return new stream.Readable({ read: () => {} })
}

nodeTest.test('a response that is gone before its body is waited for has none', LIMIT, async () => {
  const response = createResponse()
  response.destroy()
  await types.delay(1)
  assert.equal(await waitForBody.waitForBody(response), false)
})

nodeTest.test('a response that ends or breaks off without a byte has no body, and one whose bytes arrive has', LIMIT, async () => {
  const [ended, broken, answered] = [createResponse(), createResponse(), createResponse()]
  const waits = [ended, broken, answered].map(waitForBody.waitForBody)
  ended.push(null)
  broken.destroy(new Error('reset'))
  answered.push('x')
  assert.deepEqual(await Promise.all(waits), [false, false, true])
})
