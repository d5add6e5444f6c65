import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as getOrCreate from './index.js'

nodeTest.test('a value is created once, on first use', () => {
  const map = new Map<string, number>()
  let created = 0
  const create = (): number => { created += 1; return created }
  assert.deepEqual([getOrCreate.getOrCreate(map, 'a', create), getOrCreate.getOrCreate(map, 'a', create), getOrCreate.getOrCreate(map, 'b', create)], [1, 1, 2])
})
