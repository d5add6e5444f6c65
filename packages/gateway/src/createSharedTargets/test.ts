import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createSharedTargets from './index.js'

const service = types.brandId<types.ServiceName>('llm')
const other = types.brandId<types.ServiceName>('stock')

nodeTest.test('calls of one service and priority share the shortest target in use', () => {
  const targets = createSharedTargets.createSharedTargets(() => 0)
  assert.equal(targets.note({ service, priority: 1, targetMs: 500, hasModel: true }, false), 500)
  assert.equal(targets.note({ service, priority: 1, targetMs: 400, hasModel: true }, false), 400)
  assert.equal(targets.note({ service, priority: 1, targetMs: 500, hasModel: true }, false), 400)
  assert.equal(targets.note({ service: other, priority: 1, targetMs: 500, hasModel: true }, false), 500)
})

nodeTest.test('higher-priority targets apply to lower-priority calls, but not the reverse', () => {
  const targets = createSharedTargets.createSharedTargets(() => 0)
  targets.note({ service, priority: 1, targetMs: 400, hasModel: true }, false)
  assert.equal(targets.note({ service, priority: 2, targetMs: 500, hasModel: true }, false), 400)
  targets.note({ service, priority: 2, targetMs: 350, hasModel: true }, false)
  assert.equal(targets.note({ service, priority: 1, targetMs: 400, hasModel: true }, false), 400)
})

nodeTest.test('an unused target expires, and a very short one shortens others only to a fraction', () => {
  let time = 0
  const targets = createSharedTargets.createSharedTargets(() => time)
  targets.note({ service, priority: 1, targetMs: 50, hasModel: true }, false)
  assert.equal(targets.note({ service, priority: 1, targetMs: 500, hasModel: true }, false), 300)
  time = 5001
  assert.equal(targets.note({ service, priority: 1, targetMs: 500, hasModel: true }, false), 500)
})

/** Guards against a lower priority with a longer target that takes the slots of higher ones under load, and against its loss of free slots. */
nodeTest.test('lower priorities get shorter targets while slots are contended, and only among calls of model engines', () => {
  const targets = createSharedTargets.createSharedTargets(() => 0)
  const service = types.brandId<types.ServiceName>('llm')
  const read = (priority: number, targetMs: number, isContended: boolean, hasModel = true): number => Math.round(targets.note({ service, priority, targetMs, hasModel }, isContended))
  assert.equal(read(2, 1000, true), 1000)
  assert.equal(read(0, 400, true), 400)
  assert.equal(read(1, 400, true), 280)
  assert.equal(read(2, 1000, true), 196)
  assert.equal(read(0, 400, true), 400)
  assert.equal(read(2, 1000, false), 600)
  assert.equal(read(2, 1000, true, false), 600)
})
