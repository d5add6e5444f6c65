import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as createColdChecks from './index.js'

interface Fixture {
  /** Monotonic time until which the engine is cold; null while it does not answer. */
  coldUntil: number | null
  isEnabled: boolean
  readonly checks: createColdChecks.ColdChecks
  readonly checkTimes: number[]
  readonly announced: number[]
  readonly run: (time: number) => Promise<void>
}

const STEP_MS = 10

function createFixture (): Fixture {
  const clock = standins.createVirtualClock()
  const checkTimes: number[] = []
  const announced: number[] = []
  const fixture = { coldUntil: 0 as number | null, isEnabled: true }
  const checks = createColdChecks.createColdChecks({
    isEnabled: () => fixture.isEnabled,
    readColdRemainingMs: async () => {
      checkTimes.push(clock.now())
      return fixture.coldUntil === null ? null : Math.max(0, fixture.coldUntil - clock.now())
    },
    onCold: (remainingMs) => { announced.push(remainingMs) },
    at: (time, action) => {
      let isCancelled = false
      clock.at(time, () => { if (!isCancelled) action() })
      return () => { isCancelled = true }
    },
    now: clock.now
  })
  async function run (end: number): Promise<void> {
    for (let time = clock.now(); time <= end; time += STEP_MS) {
      clock.run(time)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }
  return Object.assign(fixture, { checks, checkTimes, announced, run })
}

/** Guards against health checks of warm engines: each takes a slot. */
nodeTest.test('a warm engine is checked once after it may have become cold, and an idle agent sends no check', async () => {
  const fixture = createFixture()
  await fixture.run(3000)
  assert.deepEqual(fixture.checkTimes, [])
  fixture.checks.noteMaybeCold()
  await fixture.run(30_000)
  assert.equal(fixture.checkTimes.length, 1)
  assert.equal(fixture.checks.readColdMs(), null)
  assert.deepEqual(fixture.announced, [])
})

nodeTest.test('a cold engine is announced once, checked again before its end, and warm by time', async () => {
  const fixture = createFixture()
  fixture.coldUntil = 5000
  fixture.checks.noteMaybeCold()
  await fixture.run(100)
  assert.deepEqual(fixture.announced, [5000])
  assert.equal(fixture.checks.readColdMs(), 4900)
  await fixture.run(20_000)
  assert.equal(fixture.checkTimes.length, 2)
  assert.deepEqual(fixture.announced, [5000])
  assert.equal(fixture.checks.readColdMs(), null)
})

/** Guards against an engine that becomes cold again while it is cold and counts as warm too early. */
nodeTest.test('an engine that stays cold for longer than announced is announced again', async () => {
  const fixture = createFixture()
  fixture.coldUntil = 5000
  fixture.checks.noteMaybeCold()
  await fixture.run(2000)
  fixture.coldUntil = 9000
  await fixture.run(4600)
  assert.equal(fixture.announced.length, 2)
  assert.equal(fixture.checks.readColdMs(), 4400)
})

/** Guards against more than one check a second, however many gateways ask for permits or reports come and go. */
nodeTest.test('no two checks are sent within a second', async () => {
  const fixture = createFixture()
  fixture.coldUntil = null
  for (let time = 0; time < 10_000; time += 50) {
    fixture.checks.noteMaybeCold()
    await fixture.run(time)
  }
  assert.ok(fixture.checkTimes.length > 5)
  for (const [index, time] of fixture.checkTimes.entries()) assert.ok(index === 0 || time - (fixture.checkTimes[index - 1] as number) >= 1000)
})

nodeTest.test('an engine that does not answer is checked a few times, and not at all without a limit for cold engines', async () => {
  const fixture = createFixture()
  fixture.coldUntil = null
  fixture.checks.noteMaybeCold()
  await fixture.run(30_000)
  assert.equal(fixture.checkTimes.length, 5)
  fixture.isEnabled = false
  fixture.checks.noteMaybeCold()
  await fixture.run(32_000)
  assert.equal(fixture.checkTimes.length, 5)
})
