/** Guards against a daemon that takes its own pause for silence of others. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createLivenessClock from './index.js'

const RECOVERY_MS = 1000
/** Mock timers fire at the end of a tick, so that one long tick would be a pause. */
const TICK_MS = 50

function open (context: nodeTest.TestContext) {
  context.mock.timers.enable({ apis: ['setInterval', 'Date'], now: 0 })
  let pausedMs = 0
  const pauses: number[] = []
  const clock = createLivenessClock.createLivenessClock({ now: () => Date.now() + pausedMs, readRecoveryMs: () => RECOVERY_MS, onPause: (duration) => { pauses.push(Math.round(duration)) } })
  context.after(clock.stop)
  return {
    clock,
    pauses,
    run: (milliseconds: number) => { for (let leftMs = milliseconds; leftMs > 0; leftMs -= TICK_MS) context.mock.timers.tick(Math.min(TICK_MS, leftMs)) },
    pause: (milliseconds: number) => { pausedMs += milliseconds }
  }
}

nodeTest.test('keeps pace with the other clock while the process runs', (context) => {
  const { clock, pauses, run } = open(context)
  run(60_000)
  assert.equal(clock.now(), 60_000)
  assert.deepEqual(pauses, [])
})

nodeTest.test('excludes a pause and the recovery after it, and then runs on', (context) => {
  const { clock, pauses, run, pause } = open(context)
  run(5000)
  pause(30_000)
  assert.equal(clock.now(), 5000)
  run(RECOVERY_MS)
  assert.equal(clock.now(), 5000)
  run(2000)
  assert.equal(clock.now(), 7000)
  assert.deepEqual(pauses, [30_000])
})

nodeTest.test('advances with most of the time in which a process runs that is paused again and again', (context) => {
  const { clock, run, pause } = open(context)
  const [rounds, runMs, pauseMs] = [100, 400, 600]
  for (let round = 0; round < rounds; round += 1) {
    run(runMs)
    pause(pauseMs)
  }
  assert.ok(clock.now() >= rounds * runMs / 2 - RECOVERY_MS, `${clock.now()} ms of ${rounds * runMs} ms`)
})

nodeTest.test('never goes back', (context) => {
  const { clock, run, pause } = open(context)
  let last = clock.now()
  for (let step = 0; step < 2000; step += 1) {
    run(step * 7919 % 350)
    if (step % 13 === 0) pause(step * 104729 % 5000)
    assert.ok(clock.now() >= last)
    last = clock.now()
  }
})
