import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as rateLimits from '../types/index.js'
import * as createRateLimitRecord from './index.js'

const LIFE = types.formatLife(types.brandId('engine-1'), null)

interface Opened {
  readonly record: createRateLimitRecord.RateLimitRecord
  readonly changes: createRateLimitRecord.RateLimitChange[]
  readonly told: rateLimits.RateLimit[]
  readonly unreadable: string[]
  time: number
}

function open (): Opened {
  const opened = { time: 1000, changes: [], told: [], unreadable: [] } as unknown as Omit<Opened, 'record'> & { record: Opened['record'] }
  opened.record = createRateLimitRecord.createRateLimitRecord({
    onChange: (change) => { opened.changes.push(change) },
    onUnreadable: (_life, text) => { opened.unreadable.push(text) },
    tell: (limit) => { opened.told.push(limit) },
    now: () => opened.time
  })
  return opened
}

nodeTest.test('a limit holds from the first answer that names it, and a newer one replaces it', () => {
  const opened = open()
  const { record, changes, told } = opened
  record.noteAnswer(LIFE, { kind: 'named', perSecond: 6 }, 900)
  record.noteAnswer(LIFE, { kind: 'named', perSecond: 6 }, 900)
  opened.time += 5000
  record.noteAnswer(LIFE, { kind: 'named', perSecond: 2 }, 900)
  assert.equal(record.read(LIFE)?.perSecond, 2)
  assert.deepEqual(changes.map(({ before, after }) => [before, after]), [[null, 6], [6, 2]])
  assert.deepEqual(told.map(({ perSecond }) => perSecond), [6, 2])
})

nodeTest.test('an answer without a limit ends it only if its call was sent after the limit was heard', () => {
  const opened = open()
  const { record } = opened
  record.noteAnswer(LIFE, { kind: 'named', perSecond: 6 }, 900)
  opened.time = 1100
  record.noteAnswer(LIFE, { kind: 'none' }, 1000)
  assert.equal(record.read(LIFE)?.perSecond, 6)
  record.noteAnswer(LIFE, { kind: 'none' }, 1001)
  assert.equal(record.read(LIFE), null)
  assert.deepEqual(opened.told.map(({ perSecond }) => perSecond), [6, null])
})

nodeTest.test('no time ends a limit while its back end is listed', () => {
  const opened = open()
  opened.record.noteAnswer(LIFE, { kind: 'named', perSecond: 6 }, 900)
  opened.time = 10_000_000
  opened.record.keepOnly(new Set([LIFE]))
  assert.equal(opened.record.read(LIFE)?.perSecond, 6)
  opened.record.keepOnly(new Set())
  assert.equal(opened.record.read(LIFE), null)
})

nodeTest.test('what can not be read leaves the last good limit in force, and is said once', () => {
  const { record, unreadable } = open()
  record.noteAnswer(LIFE, { kind: 'named', perSecond: 6 }, 900)
  record.noteAnswer(LIFE, { kind: 'unreadable', text: '-1' }, 2000)
  record.noteAnswer(LIFE, { kind: 'unreadable', text: '-1' }, 2000)
  assert.equal(record.read(LIFE)?.perSecond, 6)
  assert.deepEqual(unreadable, ['-1'])
})

nodeTest.test('of what others tell the newest word holds', () => {
  const { record } = open()
  record.noteTold({ life: LIFE, perSecond: 3, heardAt: 500 })
  record.noteTold({ life: LIFE, perSecond: 5, heardAt: 400 })
  assert.equal(record.read(LIFE)?.perSecond, 3)
  record.noteTold({ life: LIFE, perSecond: null, heardAt: 600 })
  assert.equal(record.read(LIFE), null)
})

nodeTest.test('another life of a back end starts without a limit', () => {
  const { record } = open()
  record.noteAnswer(types.formatLife(types.brandId('engine-1'), 1), { kind: 'named', perSecond: 6 }, 900)
  assert.equal(record.read(types.formatLife(types.brandId('engine-1'), 2)), null)
})

nodeTest.test('a limit that goes on is told again to those that missed it', () => {
  const opened = open()
  opened.record.noteAnswer(LIFE, { kind: 'named', perSecond: 6 }, 900)
  opened.time += 61_000
  opened.record.noteAnswer(LIFE, { kind: 'named', perSecond: 6 }, 900)
  assert.equal(opened.told.length, 2)
  assert.equal(opened.changes.length, 1)
})

nodeTest.test('a limit that changes with each answer is told a few times a minute, and its beginning and end at once', () => {
  const opened = open()
  for (let second = 0; second < 60; second += 1) {
    opened.record.noteAnswer(LIFE, { kind: 'named', perSecond: 5 + second % 7 }, opened.time)
    opened.time += 1000
  }
  assert.ok(opened.told.length <= 13, `${opened.told.length} times`)
  opened.record.noteAnswer(LIFE, { kind: 'none' }, opened.time)
  opened.record.noteAnswer(LIFE, { kind: 'named', perSecond: 3 }, opened.time)
  assert.deepEqual(opened.told.slice(-2).map(({ perSecond }) => perSecond), [null, 3])
})

nodeTest.test('what another daemon told again is not told once more', () => {
  const opened = open()
  opened.record.noteAnswer(LIFE, { kind: 'named', perSecond: 6 }, 900)
  opened.time += 29_000
  opened.record.noteTold({ life: LIFE, perSecond: 6, heardAt: opened.time })
  opened.time += 2000
  opened.record.noteAnswer(LIFE, { kind: 'named', perSecond: 6 }, 900)
  assert.equal(opened.told.length, 1)
})
