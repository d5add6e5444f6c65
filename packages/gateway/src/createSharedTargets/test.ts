import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createSharedTargets from './index.js'

const service = types.brandId<types.ServiceName>('llm')
const other = types.brandId<types.ServiceName>('stock')

nodeTest.test('calls of one service and priority share the shortest target in use', () => {
  const targets = createSharedTargets.createSharedTargets(() => 0)
  assert.equal(targets.note({ service, priority: 1, targetMs: 500 }), 500)
  assert.equal(targets.note({ service, priority: 1, targetMs: 400 }), 400)
  assert.equal(targets.note({ service, priority: 1, targetMs: 500 }), 400)
  assert.equal(targets.note({ service: other, priority: 1, targetMs: 500 }), 500)
})

nodeTest.test('higher-priority targets apply to lower-priority calls, but not the reverse', () => {
  const targets = createSharedTargets.createSharedTargets(() => 0)
  targets.note({ service, priority: 1, targetMs: 400 })
  assert.equal(targets.note({ service, priority: 2, targetMs: 500 }), 400)
  targets.note({ service, priority: 2, targetMs: 350 })
  assert.equal(targets.note({ service, priority: 1, targetMs: 400 }), 400)
})

nodeTest.test('an unused target expires, and a very short one shortens others only to a fraction', () => {
  let time = 0
  const targets = createSharedTargets.createSharedTargets(() => time)
  targets.note({ service, priority: 1, targetMs: 50 })
  assert.equal(targets.note({ service, priority: 1, targetMs: 500 }), 300)
  time = 5001
  assert.equal(targets.note({ service, priority: 1, targetMs: 500 }), 500)
})
