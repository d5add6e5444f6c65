import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as rateLimits from '../types/index.js'
import * as createRateLimitRecord from './index.js'

const LIFE = types.formatBackEndInstanceId(types.brandId('engine-1'), null)

interface Fixture {
  readonly record: createRateLimitRecord.RateLimitRecord
  readonly changes: createRateLimitRecord.RateLimitChange[]
  readonly broadcasts: rateLimits.RateLimit[]
  readonly unreadable: string[]
  time: number
}

function createFixture (): Fixture {
  const fixture = { time: 1000, changes: [], broadcasts: [], unreadable: [] } as unknown as Omit<Fixture, 'record'> & { record: Fixture['record'] }
  fixture.record = createRateLimitRecord.createRateLimitRecord({
    onChange: (change) => { fixture.changes.push(change) },
    onUnreadable: (_life, text) => { fixture.unreadable.push(text) },
    broadcast: (limit) => { fixture.broadcasts.push(limit) },
    now: () => fixture.time
  })
  return fixture
}

nodeTest.test('a limit applies from the first response that advertises it, and a newer one replaces it', () => {
  const fixture = createFixture()
  const { record, changes, broadcasts } = fixture
  record.noteResponse(LIFE, { kind: 'named', perSecond: 6 }, 900)
  record.noteResponse(LIFE, { kind: 'named', perSecond: 6 }, 900)
  fixture.time += 5000
  record.noteResponse(LIFE, { kind: 'named', perSecond: 2 }, 900)
  assert.equal(record.read(LIFE)?.perSecond, 2)
  assert.deepEqual(changes.map(({ before, after }) => [before, after]), [[null, 6], [6, 2]])
  assert.deepEqual(broadcasts.map(({ perSecond }) => perSecond), [6, 2])
})

nodeTest.test('a response without a limit ends it only if its call was sent after the limit was received', () => {
  const fixture = createFixture()
  const { record } = fixture
  record.noteResponse(LIFE, { kind: 'named', perSecond: 6 }, 900)
  fixture.time = 1100
  record.noteResponse(LIFE, { kind: 'none' }, 1000)
  assert.equal(record.read(LIFE)?.perSecond, 6)
  record.noteResponse(LIFE, { kind: 'none' }, 1001)
  assert.equal(record.read(LIFE), null)
  assert.deepEqual(fixture.broadcasts.map(({ perSecond }) => perSecond), [6, null])
})

nodeTest.test('a limit does not expire while its back end is listed', () => {
  const fixture = createFixture()
  fixture.record.noteResponse(LIFE, { kind: 'named', perSecond: 6 }, 900)
  fixture.time = 10_000_000
  fixture.record.retainOnly(new Set([LIFE]))
  assert.equal(fixture.record.read(LIFE)?.perSecond, 6)
  fixture.record.retainOnly(new Set())
  assert.equal(fixture.record.read(LIFE), null)
})

nodeTest.test('an unreadable limit leaves the last valid one in force and is reported once', () => {
  const { record, unreadable } = createFixture()
  record.noteResponse(LIFE, { kind: 'named', perSecond: 6 }, 900)
  record.noteResponse(LIFE, { kind: 'unreadable', text: '-1' }, 2000)
  record.noteResponse(LIFE, { kind: 'unreadable', text: '-1' }, 2000)
  assert.equal(record.read(LIFE)?.perSecond, 6)
  assert.deepEqual(unreadable, ['-1'])
})

nodeTest.test('the newest of the limits received from other daemons applies', () => {
  const { record } = createFixture()
  record.noteFromPeer({ life: LIFE, perSecond: 3, receivedAt: 500 })
  record.noteFromPeer({ life: LIFE, perSecond: 5, receivedAt: 400 })
  assert.equal(record.read(LIFE)?.perSecond, 3)
  record.noteFromPeer({ life: LIFE, perSecond: null, receivedAt: 600 })
  assert.equal(record.read(LIFE), null)
})

nodeTest.test('a restarted back end starts without a limit', () => {
  const { record } = createFixture()
  record.noteResponse(types.formatBackEndInstanceId(types.brandId('engine-1'), 1), { kind: 'named', perSecond: 6 }, 900)
  assert.equal(record.read(types.formatBackEndInstanceId(types.brandId('engine-1'), 2)), null)
})

nodeTest.test('an unchanged limit is broadcast again for daemons that missed it', () => {
  const fixture = createFixture()
  fixture.record.noteResponse(LIFE, { kind: 'named', perSecond: 6 }, 900)
  fixture.time += 61_000
  fixture.record.noteResponse(LIFE, { kind: 'named', perSecond: 6 }, 900)
  assert.equal(fixture.broadcasts.length, 2)
  assert.equal(fixture.changes.length, 1)
})

nodeTest.test('a limit that changes with each response is broadcast a few times a minute, and its start and end at once', () => {
  const fixture = createFixture()
  for (let second = 0; second < 60; second += 1) {
    fixture.record.noteResponse(LIFE, { kind: 'named', perSecond: 5 + second % 7 }, fixture.time)
    fixture.time += 1000
  }
  assert.ok(fixture.broadcasts.length <= 13, `${fixture.broadcasts.length} times`)
  fixture.record.noteResponse(LIFE, { kind: 'none' }, fixture.time)
  fixture.record.noteResponse(LIFE, { kind: 'named', perSecond: 3 }, fixture.time)
  assert.deepEqual(fixture.broadcasts.slice(-2).map(({ perSecond }) => perSecond), [null, 3])
})

nodeTest.test('a limit that another daemon has just broadcast is not broadcast again', () => {
  const fixture = createFixture()
  fixture.record.noteResponse(LIFE, { kind: 'named', perSecond: 6 }, 900)
  fixture.time += 29_000
  fixture.record.noteFromPeer({ life: LIFE, perSecond: 6, receivedAt: fixture.time })
  fixture.time += 2000
  fixture.record.noteResponse(LIFE, { kind: 'named', perSecond: 6 }, 900)
  assert.equal(fixture.broadcasts.length, 1)
})
