import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as rateLimits from '../types/index.js'
import * as createPermitCounter from './index.js'

const LIFE = types.brandId<types.BackEndInstanceId>('engine-1')

interface Fixture {
  time: number
  readonly take: (perSecond: number, receivedAt?: number, part?: number) => number
}

/** Creates a counter whose `take` returns 0 for a granted permit, or the milliseconds to wait. */
function createFixture (): Fixture {
  const fixture = { time: 1000 } as { time: number, take: Fixture['take'] }
  const counter = createPermitCounter.createPermitCounter(() => fixture.time)
  fixture.take = (perSecond, receivedAt = 0, part = 1) => {
    const decision = counter.take({ life: LIFE, perSecond, receivedAt }, part)
    return decision.isGranted ? 0 : decision.waitMs
  }
  return fixture
}

nodeTest.test('a counter starts without permits, since another one may have granted some just before', () => {
  const fixture = createFixture()
  assert.equal(fixture.take(2), 500)
  fixture.time += 500
  assert.equal(fixture.take(2), 0)
})

nodeTest.test('waiting gateways are told successive retry times, up to a maximum wait', () => {
  const fixture = createFixture()
  assert.deepEqual([fixture.take(4), fixture.take(4), fixture.take(4)], [250, 500, 750])
  for (let request = 0; request < 50; request += 1) assert.ok(fixture.take(4) <= 1000)
})

nodeTest.test('the burst capacity holds the permits of a quarter of a second and one more', () => {
  const fixture = createFixture()
  fixture.take(8)
  fixture.time += 60_000 - 1
  const granted = [1, 2, 3, 4].map(() => fixture.take(8)).filter((waitMs) => waitMs === 0)
  assert.equal(granted.length, 3)
})

nodeTest.test('the limit that was received last applies, whichever gateway requests a permit', () => {
  const fixture = createFixture()
  assert.equal(fixture.take(1, 10), 1000)
  fixture.time += 2000
  assert.equal(fixture.take(10, 20), 0)
  fixture.time += 100
  assert.equal(fixture.take(1, 10), 0)
})

nodeTest.test('a back end with a tiny limit still gets a request every five seconds', () => {
  const fixture = createFixture()
  assert.equal(fixture.take(0.001), 5000)
})

nodeTest.test('a substitute grants only a fraction of the limit', () => {
  const fixture = createFixture()
  assert.equal(fixture.take(4, 0, 0.25), 1000)
})

nodeTest.test('a late call gets a permit only from a nearly full bucket and does not delay other calls', () => {
  let time = 0
  const counter = createPermitCounter.createPermitCounter(() => time)
  const limit = { life: LIFE, perSecond: 8, receivedAt: 0 }
  counter.take(limit, 1)
  time = 250
  assert.equal(counter.take(limit, 1, true).isGranted, false)
  assert.equal(counter.take(limit, 1).isGranted, true)
  time = 1000
  assert.equal(counter.take(limit, 1, true).isGranted, true)
})

/** Guards against a burst that is harmless within four seconds but not within the one second of a cold back end. */
nodeTest.test('the limit of a cold back end has its own burst, and the lower rate applies', () => {
  let time = 0
  const counter = createPermitCounter.createPermitCounter(() => time)
  const cold = { perSecond: 20, burst: 2 }
  const takeAll = (limit: rateLimits.LimitInForce): number => {
    let taken = 0
    while (counter.take(limit, 1).isGranted) taken += 1
    return taken
  }
  const warm = { life: LIFE, perSecond: 40, receivedAt: 0 }
  const unlimited = { life: LIFE, perSecond: null, receivedAt: 0, cold }
  assert.equal(takeAll(unlimited), 0)
  time += 10_000
  assert.equal(takeAll(unlimited), 3)
  time += 100
  assert.equal(takeAll({ ...warm, cold }), 2)
  time += 100
  assert.equal(takeAll({ ...warm, perSecond: 10, receivedAt: 1, cold }), 2, 'the time until then counts at the former rate')
  time += 100
  assert.equal(takeAll({ ...warm, perSecond: 10, receivedAt: 1, cold }), 1)
})

/** Guards against gateways that have not yet heard of the coldness and would get permits at the warm rate. */
nodeTest.test('a stated limit applies for a second to all requests, and then ends', () => {
  let time = 0
  const counter = createPermitCounter.createPermitCounter(() => time)
  const advertised = { life: LIFE, perSecond: 1000, receivedAt: 0 }
  const cold = { perSecond: 1, burst: 0 }
  counter.take({ ...advertised, cold }, 1)
  time += 900
  assert.equal(counter.take(advertised, 1).isGranted, false)
  time += 200
  counter.take(advertised, 1)
  time += 10
  assert.equal(counter.take(advertised, 1).isGranted, true)
  time += 2000
  const slow = counter.take({ life: LIFE, perSecond: null, receivedAt: time, cold: { perSecond: 1, burst: 0 } }, 1)
  assert.equal(slow.isGranted, true)
})

/** Guards against callers of the lowest rank who take the permits of a cold back end before those of the highest one. */
nodeTest.test('calls of a lower rank yield while calls of a higher one are refused, but only for a cold back end', () => {
  for (const cold of [{ perSecond: 10, burst: 1 }, undefined]) {
    let time = 0
    const counter = createPermitCounter.createPermitCounter(() => time)
    const take = (rank: number): boolean => counter.take({ life: LIFE, perSecond: 10, receivedAt: 0, rank, ...(cold === undefined ? {} : { cold }) }, 1).isGranted
    assert.equal(take(0), false)
    time += 100
    assert.equal(take(2), cold === undefined)
    assert.equal(take(0), cold !== undefined)
    time += 400
    assert.equal(take(2), true, 'higher ranks left permits')
  }
})
