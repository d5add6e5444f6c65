import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createPauseMonitor from './index.js'

/** Mock timers fire at the end of a tick, so that one long tick would be a pause. */
const TICK_MS = 50

function open (context: nodeTest.TestContext) {
  context.mock.timers.enable({ apis: ['setInterval', 'Date'], now: 0 })
  let pausedMs = 0
  const pauses: number[] = []
  const now = (): number => Date.now() + pausedMs
  const monitor = createPauseMonitor.createPauseMonitor({ now, onPause: (duration) => { pauses.push(Math.round(duration)) } })
  context.after(monitor.stop)
  return {
    monitor,
    pauses,
    now,
    run: (milliseconds: number) => { for (let leftMs = milliseconds; leftMs > 0; leftMs -= TICK_MS) context.mock.timers.tick(Math.min(TICK_MS, leftMs)) },
    pause: (milliseconds: number) => { pausedMs += milliseconds }
  }
}

nodeTest.test('a running process has no pauses', (context) => {
  const { monitor, pauses, run } = open(context)
  run(10_000)
  assert.deepEqual([monitor.pausedMsSince(0), pauses], [0, []])
})

nodeTest.test('a pause is known at once, before the timer has run', (context) => {
  const { monitor, now, run, pause } = open(context)
  run(1000)
  const before = now()
  pause(4000)
  assert.equal(monitor.pausedMsSince(before), 4000)
})

nodeTest.test('only the part of a pause after the time is counted, and pauses add up', (context) => {
  const { monitor, pauses, now, run, pause } = open(context)
  run(1000)
  pause(2000)
  // The runtime runs an overdue timer at once; mock timers don't know of the pause.
  assert.equal(monitor.pausedMsSince(0), 2000)
  run(1000)
  const between = now()
  pause(3000)
  assert.equal(monitor.pausedMsSince(between), 3000)
  assert.equal(monitor.pausedMsSince(0), 5000)
  assert.equal(monitor.pausedMsSince(between + 1000), 2000)
  assert.deepEqual(pauses, [2000, 3000])
})
