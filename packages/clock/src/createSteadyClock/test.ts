import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createSteadyClock from './index.js'

interface SimulatedMachine {
  readonly clock: createSteadyClock.SteadyClock
  readonly suspensions: createSteadyClock.Suspension[]
  readonly advance: (milliseconds: number) => void
  readonly suspend: (milliseconds: number) => void
  /** Moves the time of day without moving the other clocks. */
  readonly set: (milliseconds: number) => void
}

/** Creates a machine that reports its own uptime, or the uptime of another machine, which advances more slowly. */
function createMachine (isUptimeReliable: boolean): SimulatedMachine {
  let monotonicMs = 1000
  let day = 1_790_000_000_000
  let uptime = 50_000
  const clock = createSteadyClock.createSteadyClock({ monotonic: () => monotonicMs, timeOfDay: () => day, uptime: () => uptime })
  const suspensions: createSteadyClock.Suspension[] = []
  clock.onSuspension((suspension) => { suspensions.push(suspension) })
  const advance = (milliseconds: number): void => {
    monotonicMs += milliseconds
    day += milliseconds
    uptime += isUptimeReliable ? milliseconds : milliseconds / 3
  }
  for (let at = 0; at < 20; at += 1) {
    advance(100)
    clock.now()
  }
  return {
    clock,
    suspensions,
    advance,
    suspend: (milliseconds) => {
      day += milliseconds
      uptime += milliseconds
    },
    set: (milliseconds) => { day += milliseconds }
  }
}

nodeTest.test('the first reading after a suspension includes its duration', () => {
  const { clock, suspensions, advance, suspend } = createMachine(true)
  const before = clock.now()
  suspend(5000)
  advance(10)
  assert.equal(clock.now(), before + 5010)
  assert.deepEqual(suspensions, [{ lostMs: 5000, resumedAt: before + 10 }])
  suspend(700)
  assert.equal(clock.now(), before + 5710)
})

nodeTest.test('setting the time of day forward or back does not move the clock', () => {
  const { clock, suspensions, advance, set } = createMachine(true)
  const before = clock.now()
  for (const jumpMs of [2000, -2000, 7000, -7000]) {
    set(jumpMs)
    advance(10)
    clock.now()
  }
  assert.equal(clock.now(), before + 40)
  assert.deepEqual(suspensions, [])
})

nodeTest.test('continuous small adjustments of the time of day, as by a time server, do not move the clock', () => {
  const { clock, advance, set } = createMachine(true)
  const before = clock.now()
  for (let at = 0; at < 1000; at += 1) {
    set(1)
    advance(100)
    clock.now()
  }
  assert.equal(clock.now(), before + 100_000)
})

nodeTest.test('the uptime gives the duration of a suspension during which the time of day is set, too', () => {
  const { clock, suspend, set } = createMachine(true)
  const before = clock.now()
  suspend(3000)
  set(4000)
  assert.equal(clock.now(), before + 3000)
})

nodeTest.test('two peers decide when the uptime is not trusted', () => {
  const { clock, suspensions, advance, suspend } = createMachine(false)
  const before = clock.now()
  suspend(5000)
  advance(10)
  assert.equal(clock.now(), before + 10)
  assert.equal(clock.isUncertain(), true)
  for (const name of ['early', 'too early']) clock.recordPeerOffset(name, 20)
  advance(100)
  clock.recordPeerOffset('one', 4950)
  clock.recordPeerOffset('one', 4950)
  assert.equal(clock.now(), before + 110)
  clock.recordPeerOffset('two', 4400)
  assert.equal(clock.now(), before + 5110)
  assert.equal(clock.isUncertain(), false)
  assert.deepEqual(suspensions, [{ lostMs: 5000, resumedAt: before + 10 }])
})

nodeTest.test('two peers whose clocks did not move show that the time of day was set', () => {
  const { clock, set, advance } = createMachine(false)
  const before = clock.now()
  set(5000)
  clock.now()
  advance(110)
  assert.equal(clock.isUncertain(), true)
  clock.recordPeerOffset('one', 3)
  clock.recordPeerOffset('two', -8)
  assert.equal(clock.isUncertain(), false)
  clock.recordPeerOffset('three', 5000)
  clock.recordPeerOffset('four', 5000)
  assert.equal(clock.now(), before + 110)
})

nodeTest.test('an unexplained jump expires, and later reports of peers have no effect', () => {
  const { clock, set, advance } = createMachine(false)
  set(5000)
  clock.now()
  advance(1600)
  assert.equal(clock.isUncertain(), false)
  const before = clock.now()
  clock.recordPeerOffset('one', 5000)
  clock.recordPeerOffset('two', 5000)
  assert.equal(clock.now(), before)
})
