import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as timers from 'node:timers/promises'
import * as runInTurns from './index.js'

nodeTest.test('work is run in order and in later turns once it exceeds the bound of one', async () => {
  const ran: number[] = []
  for (let index = 0; index < 3; index += 1) runInTurns.runInTurns(() => { ran.push(index) }, 1000)
  const remove = runInTurns.runInTurns(() => { ran.push(3) }, 1)
  remove()
  assert.deepEqual(ran, [])
  await timers.setImmediate()
  assert.deepEqual(ran, [0])
  while (ran.length < 3) await timers.setImmediate()
  assert.deepEqual(ran, [0, 1, 2])
})
