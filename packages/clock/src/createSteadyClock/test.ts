import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createSteadyClock from './index.js'

interface Machine {
  readonly clock: createSteadyClock.SteadyClock
  readonly suspensions: createSteadyClock.Suspension[]
  readonly pass: (milliseconds: number) => void
  readonly suspend: (milliseconds: number) => void
  /** Sets the time of day. */
  readonly set: (milliseconds: number) => void
}

/** A machine whose time since the start is its own, or that of another one which runs slower. */
function open (isStartOwn: boolean): Machine {
  let steady = 1000
  let day = 1_790_000_000_000
  let start = 50_000
  const clock = createSteadyClock.createSteadyClock({ steady: () => steady, timeOfDay: () => day, sinceStart: () => start })
  const suspensions: createSteadyClock.Suspension[] = []
  clock.onSuspension((suspension) => { suspensions.push(suspension) })
  const pass = (milliseconds: number): void => {
    steady += milliseconds
    day += milliseconds
    start += isStartOwn ? milliseconds : milliseconds / 3
  }
  for (let at = 0; at < 20; at += 1) {
    pass(100)
    clock.now()
  }
  return {
    clock,
    suspensions,
    pass,
    suspend: (milliseconds) => {
      day += milliseconds
      start += milliseconds
    },
    set: (milliseconds) => { day += milliseconds }
  }
}

nodeTest.test('the time of a suspension counts from the first look on', () => {
  const { clock, suspensions, pass, suspend } = open(true)
  const before = clock.now()
  suspend(5000)
  pass(10)
  assert.equal(clock.now(), before + 5010)
  assert.deepEqual(suspensions, [{ lostMs: 5000, resumedAt: before + 10 }])
  suspend(700)
  assert.equal(clock.now(), before + 5710)
})

nodeTest.test('a time of day that is set, forward or back, moves nothing', () => {
  const { clock, suspensions, pass, set } = open(true)
  const before = clock.now()
  for (const leapMs of [2000, -2000, 7000, -7000]) {
    set(leapMs)
    pass(10)
    clock.now()
  }
  assert.equal(clock.now(), before + 40)
  assert.deepEqual(suspensions, [])
})

nodeTest.test('a time of day that is set a little all the time, as by a time server, moves nothing', () => {
  const { clock, pass, set } = open(true)
  const before = clock.now()
  for (let at = 0; at < 1000; at += 1) {
    set(1)
    pass(100)
    clock.now()
  }
  assert.equal(clock.now(), before + 100_000)
})

nodeTest.test('a suspension while the time of day is set, too, counts by the time since the start', () => {
  const { clock, suspend, set } = open(true)
  const before = clock.now()
  suspend(3000)
  set(4000)
  assert.equal(clock.now(), before + 3000)
})

nodeTest.test('where the time since the start can\'t be believed, two others decide', () => {
  const { clock, suspensions, pass, suspend } = open(false)
  const before = clock.now()
  suspend(5000)
  pass(10)
  assert.equal(clock.now(), before + 10)
  assert.equal(clock.isUncertain(), true)
  for (const name of ['early', 'too early']) clock.noteOther(name, 20)
  pass(100)
  clock.noteOther('one', 4950)
  clock.noteOther('one', 4950)
  assert.equal(clock.now(), before + 110)
  clock.noteOther('two', 4400)
  assert.equal(clock.now(), before + 5110)
  assert.equal(clock.isUncertain(), false)
  assert.deepEqual(suspensions, [{ lostMs: 5000, resumedAt: before + 10 }])
})

nodeTest.test('two others whose clocks did not move show that the time of day was set', () => {
  const { clock, set, pass } = open(false)
  const before = clock.now()
  set(5000)
  clock.now()
  pass(110)
  assert.equal(clock.isUncertain(), true)
  clock.noteOther('one', 3)
  clock.noteOther('two', -8)
  assert.equal(clock.isUncertain(), false)
  clock.noteOther('three', 5000)
  clock.noteOther('four', 5000)
  assert.equal(clock.now(), before + 110)
})

nodeTest.test('a leap that nobody explains is forgotten, and another one of a single clock proves nothing', () => {
  const { clock, set, pass } = open(false)
  set(5000)
  clock.now()
  pass(1600)
  assert.equal(clock.isUncertain(), false)
  const before = clock.now()
  clock.noteOther('one', 5000)
  clock.noteOther('two', 5000)
  assert.equal(clock.now(), before)
})
