import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as store from '@switchridge/store'
import * as createEvacuations from './index.js'

const BOUND_MS = 5000

interface OpenedRecord {
  readonly record: createEvacuations.Evacuations
  readonly mirror: store.Mirror
  readonly logged: ReadonlyArray<Readonly<Record<string, unknown>>>
  readonly margins: readonly number[]
  readonly setTime: (time: number) => void
}

function openRecord (): OpenedRecord {
  let time = 0
  const logged: Array<Readonly<Record<string, unknown>>> = []
  const margins: number[] = []
  const logger = { debug: () => {}, warn: () => {}, error: () => {}, info: (event: string, fields = {}) => { logged.push({ event, ...fields }) } }
  const record = createEvacuations.createEvacuations({ boundMs: BOUND_MS, logger, observe: (_, milliseconds) => { margins.push(milliseconds) }, now: () => time })
  return { record, mirror: record.mirror as store.Mirror, logged, margins, setTime: (next) => { time = next } }
}

const describe = (name: string, revision: number): store.StoredObject => ({ name, revision, value: {} })

/** Guards against a gateway that counts as ready before it has read the evacuations. */
nodeTest.test('the evacuations are known from the first list on, and their age is unknown if they are in it', () => {
  const { record, mirror, logged } = openRecord()
  assert.ok(!record.isKnown())
  mirror.applyList({ objects: [describe('hall-a', 4)], at: 9 })
  assert.ok(record.isKnown())
  assert.ok(record.isEvacuated('hall-a'))
  assert.deepEqual(logged, [{ event: 'evacuation', hall: 'hall-a', isEvacuated: true, revision: 4, ageMs: null }])
  assert.deepEqual(record.list(), [{ hall: 'hall-a', revision: 4, ageMs: null }])
})

/** Guards against an age that is counted from when the gateway heard of the evacuation, which hides that it heard late. */
nodeTest.test('the age counts from the last time at which the copy was current without the evacuation', () => {
  const { record, mirror, logged, margins, setTime } = openRecord()
  mirror.applyList({ objects: [], at: 9 })
  setTime(1000)
  assert.ok(mirror.advanceIfEqual({ at: 11, digest: mirror.state().digest }))
  setTime(1400)
  record.noteSent('hall-a')
  setTime(2000)
  mirror.applyEvents({ events: [{ isGone: false, object: describe('hall-a', 12) }], at: 12 })
  assert.deepEqual(logged, [{ event: 'evacuation', hall: 'hall-a', isEvacuated: true, revision: 12, ageMs: 1000 }])
  assert.deepEqual(margins, [BOUND_MS - 400])
  setTime(2500)
  assert.equal(record.list()[0]?.ageMs, 1500)
  mirror.applyEvents({ events: [{ isGone: true, object: describe('hall-a', 13) }], at: 13 })
  assert.ok(!record.isEvacuated('hall-a'))
  assert.deepEqual(logged.at(-1), { event: 'evacuation', hall: 'hall-a', isEvacuated: false, revision: 13, ageMs: 500 })
})

/** Guards against calls that go on waiting for engines of a hall, since nothing says that it is evacuated now. */
nodeTest.test('listeners hear of an evacuation once it is in force', () => {
  const { record, mirror } = openRecord()
  const heard: boolean[] = []
  record.onEvacuated(() => { heard.push(record.isEvacuated('hall-a')) })
  mirror.applyList({ objects: [describe('hall-a', 4)], at: 9 })
  mirror.applyList({ objects: [describe('hall-a', 4)], at: 10 })
  mirror.applyList({ objects: [], at: 11 })
  assert.deepEqual(heard, [true])
})

/** Guards against the older of two revisions that arrive in another order, as from a peer that lags behind. */
nodeTest.test('changes of an earlier revision do not bring an evacuation back', () => {
  const { record, mirror } = openRecord()
  mirror.applyList({ objects: [], at: 9 })
  mirror.applyEvents({ events: [{ isGone: false, object: describe('hall-a', 10) }, { isGone: true, object: describe('hall-a', 11) }], at: 11 })
  assert.ok(!record.isEvacuated('hall-a'))
  mirror.applyEvents({ events: [{ isGone: false, object: describe('hall-a', 10) }], at: 10 })
  mirror.applyList({ objects: [describe('hall-a', 10)], at: 10 })
  assert.ok(!record.isEvacuated('hall-a'))
})

/** Guards against callers that all return at once to engines that are cold after the evacuation. */
nodeTest.test('listeners hear of each hall that is taken back, and not of one that is evacuated', () => {
  const { record, mirror } = openRecord()
  const halls: string[] = []
  record.onTakenBack((hall) => { halls.push(hall) })
  mirror.applyList({ objects: [describe('hall-a', 8), describe('hall-b', 9)], at: 9 })
  assert.deepEqual(halls, [])
  mirror.applyEvents({ events: [{ isGone: true, object: describe('hall-b', 10) }], at: 10 })
  assert.deepEqual(halls, ['hall-b'])
})
