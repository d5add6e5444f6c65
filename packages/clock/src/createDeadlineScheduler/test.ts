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

/** Guards against calls that expire at once, because a timer of Node.js runs out after a millisecond if its time is too long. */
nodeTest.test('an action whose time no timer can wait for runs at that time, not at once', async (context) => {
  const far = 2 ** 32
  let time = 0
  const done: number[] = []
  const at = createDeadlineScheduler.createDeadlineScheduler({ now: () => time, onSuspension: () => {} })
  const cancel = at(far, () => { done.push(-1) })
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  cancel()
  assert.equal(done.length, 0)
  context.mock.timers.enable({ apis: ['setTimeout'] })
  at(far, () => { done.push(time) })
  while (time < far) {
    time += 2 ** 28
    context.mock.timers.tick(2 ** 28)
  }
  assert.deepEqual(done, [far])
})
