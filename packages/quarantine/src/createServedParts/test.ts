import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createServedParts from './index.js'

function part (name: string): types.PromptPartId {
  return types.brandId<types.PromptPartId>(`#${name}`)
}

nodeTest.test('the latest time of a part is kept, whatever order times are noted in', () => {
  const served = createServedParts.createServedParts(10)
  assert.equal(served.servedAt(part('a')), -Infinity)
  assert.equal(served.note(part('a'), 5), true)
  assert.equal(served.note(part('a'), 3), false)
  assert.equal(served.servedAt(part('a')), 5)
})

nodeTest.test('memory is bounded, and parts that are served again and again stay', () => {
  const served = createServedParts.createServedParts(10)
  for (let index = 0; index < 1000; index += 1) {
    served.note(part('common'), index)
    served.note(part(`rare-${index}`), index)
  }
  assert.equal(served.size(), 10)
  assert.equal(served.servedAt(part('common')), 999)
})
