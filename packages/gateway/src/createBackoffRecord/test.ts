import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'
import * as createBackoffRecord from './index.js'

const SLOTS = 4
const BACKOFF_MS = 3000
const GATEWAYS = 7
const SPREAD_MS = GATEWAYS * createBackoffRecord.RESUME_SPREAD_PER_GATEWAY_MS
const NONE = { kind: 'none' } as const

function createBackEnd (bornAt: number | null): gateway.BackEnd {
  return { id: types.brandId<types.NodeId>('i-1'), bornAt, service: types.brandId<types.ServiceName>('api'), address: { host: types.LOOPBACK_HOST, port: 9 }, zone: 'a', slots: SLOTS, isDraining: false, models: new Map() }
}

const BACK_END = createBackEnd(1)

interface TestRecord {
  readonly record: createBackoffRecord.BackoffRecord
  readonly told: string[]
  readonly ask: (forMs: number) => void
  readonly succeed: () => void
  readonly advance: (milliseconds: number) => void
}

function createRecord (random = 1): TestRecord {
  let time = 0
  const told: string[] = []
  const record = createBackoffRecord.createBackoffRecord({
    onBackoff: (instance, forMs) => { told.push(`${instance} ${forMs}`) },
    onUnreadable: (instance, text) => { told.push(`${instance} unreadable ${text}`) },
    countGateways: () => GATEWAYS,
    now: () => time,
    random: () => random
  })
  return {
    record,
    told,
    ask: (forMs) => { record.noteResponse(BACK_END, { kind: 'named', forMs }, false) },
    succeed: () => { record.noteResponse(BACK_END, NONE, true) },
    advance: (milliseconds) => { time += milliseconds }
  }
}

nodeTest.test('a back end is left alone for the time that it asks for and a random part of the spread', () => {
  for (const random of [0, 0.5, 1]) {
    const { record, ask, advance } = createRecord(random)
    ask(BACKOFF_MS)
    assert.equal(record.read(BACK_END).waitMs, BACKOFF_MS + SPREAD_MS * random)
    advance(BACKOFF_MS + SPREAD_MS * random)
    assert.equal(record.read(BACK_END).waitMs, 0)
  }
})

nodeTest.test('a shorter request, none, zero or a success does not end a longer one, and a later end extends it', () => {
  const { record, ask, succeed, advance } = createRecord()
  ask(BACKOFF_MS)
  ask(0)
  ask(1000)
  succeed()
  record.noteResponse(BACK_END, NONE, false)
  assert.equal(record.read(BACK_END).waitMs, BACKOFF_MS + SPREAD_MS)
  advance(2000)
  ask(BACKOFF_MS)
  assert.equal(record.read(BACK_END).waitMs, BACKOFF_MS + SPREAD_MS)
})

nodeTest.test('a request for no time changes nothing', () => {
  const { record, told, ask } = createRecord()
  ask(0)
  assert.deepEqual(record.read(BACK_END), { waitMs: 0, maximumUnanswered: Infinity })
  assert.deepEqual(told, [])
})

nodeTest.test('a day is shortened to an hour', () => {
  const { record, ask } = createRecord(0)
  ask(86_400_000)
  assert.equal(record.read(BACK_END).waitMs, createBackoffRecord.MAXIMUM_BACKOFF_MS)
})

nodeTest.test('load returns in steps: one unanswered call, and one more with each success until the slots are reached', () => {
  const { record, ask, succeed, advance } = createRecord()
  ask(BACKOFF_MS)
  succeed()
  advance(BACKOFF_MS + SPREAD_MS)
  for (let maximumUnanswered = 1; maximumUnanswered <= SLOTS; maximumUnanswered += 1) {
    assert.equal(record.read(BACK_END).maximumUnanswered, maximumUnanswered)
    succeed()
  }
  assert.equal(record.read(BACK_END).maximumUnanswered, Infinity)
})

nodeTest.test('a request concerns one instance, and an unreadable one is told once', () => {
  const { record, told, ask } = createRecord()
  ask(BACKOFF_MS)
  for (let time = 0; time < 2; time += 1) record.noteResponse(BACK_END, { kind: 'unreadable', text: '-1' }, false)
  assert.equal(record.read(createBackEnd(2)).waitMs, 0)
  assert.deepEqual(told, ['i-1/1 3000', 'i-1/1 unreadable -1'])
})

nodeTest.test('a back end that is not listed is forgotten once its time is over', () => {
  const { record, ask, advance } = createRecord()
  ask(BACKOFF_MS)
  record.removeUnlisted([])
  assert.equal(record.countInForce(), 1)
  advance(BACKOFF_MS + SPREAD_MS)
  record.removeUnlisted([])
  assert.equal(record.read(BACK_END).maximumUnanswered, Infinity)
})
