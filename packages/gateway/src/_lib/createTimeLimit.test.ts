/** Guards against limits that never become shorter while the configuration changes often, and against limits that become shorter too early. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createTimeLimit from './createTimeLimit.js'

nodeTest.test('each limit counts until its own time has passed since it was replaced, however often limits change', (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  let appliedMs = 0
  const setLimit = createTimeLimit.createTimeLimit((limitMs) => { appliedMs = limitMs })
  const applied: number[] = []
  for (const limitMs of [10_000, 3000, 2000, 3000, 2000, 2000, 2000]) {
    setLimit(limitMs)
    applied.push(appliedMs)
    context.mock.timers.tick(2500)
  }
  setLimit(4000)
  assert.deepEqual([...applied, appliedMs], [10_000, 10_000, 10_000, 10_000, 10_000, 3000, 2000, 4000])
})
