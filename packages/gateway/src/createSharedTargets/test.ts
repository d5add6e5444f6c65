import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createSharedTargets from './index.js'

const service = types.brandId<types.ServiceName>('llm')
const other = types.brandId<types.ServiceName>('stock')

nodeTest.test('calls of one service and urgency share the shortest target that is asked for', () => {
  const targets = createSharedTargets.createSharedTargets(() => 0)
  assert.equal(targets.note({ service, priority: 1, targetMs: 500 }), 500)
  assert.equal(targets.note({ service, priority: 1, targetMs: 400 }), 400)
  assert.equal(targets.note({ service, priority: 1, targetMs: 500 }), 400)
  assert.equal(targets.note({ service: other, priority: 1, targetMs: 500 }), 500)
})

nodeTest.test('a less urgent call goes by the targets of the more urgent ones, and not the other way round', () => {
  const targets = createSharedTargets.createSharedTargets(() => 0)
  targets.note({ service, priority: 1, targetMs: 400 })
  assert.equal(targets.note({ service, priority: 2, targetMs: 500 }), 400)
  targets.note({ service, priority: 2, targetMs: 350 })
  assert.equal(targets.note({ service, priority: 1, targetMs: 400 }), 400)
})

nodeTest.test('a target that nobody asks for any more is forgotten, and a very short one binds others only in part', () => {
  let time = 0
  const targets = createSharedTargets.createSharedTargets(() => time)
  targets.note({ service, priority: 1, targetMs: 50 })
  assert.equal(targets.note({ service, priority: 1, targetMs: 500 }), 300)
  time = 5001
  assert.equal(targets.note({ service, priority: 1, targetMs: 500 }), 500)
})
