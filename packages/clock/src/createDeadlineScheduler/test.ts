import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as createSteadyClock from '../createSteadyClock/index.js'
import * as createDeadlineScheduler from './index.js'

nodeTest.test('actions that expired during a suspension run at once, all others at their time, and cancelled ones never', (context) => {
  context.mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 0 })
  let lostMs = 0
  const listeners: Array<(suspension: createSteadyClock.Suspension) => void> = []
  const at = createDeadlineScheduler.createDeadlineScheduler({ now: () => Date.now() + lostMs, onSuspension: (listener) => { listeners.push(listener) } })
  const done: string[] = []
  for (const time of [1000, 4000, 9000]) at(time, () => { done.push(String(time)) })
  at(2000, () => { done.push('cancelled') })()
  context.mock.timers.tick(500)
  lostMs = 5000
  for (const listener of listeners) listener({ lostMs, resumedAt: 500 })
  context.mock.timers.tick(1)
  assert.deepEqual(done, ['1000', '4000'])
  context.mock.timers.tick(3499)
  assert.deepEqual(done, ['1000', '4000', '9000'])
})
