import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createLeavingRecord from './index.js'

const FIRST = { id: types.brandId<types.NodeId>('i-1'), bornAt: 1 }
const RESTARTED = { ...FIRST, bornAt: 2 }
const STEP_MS = 1000

function createRecord (): { record: createLeavingRecord.LeavingRecord, told: string[], advance: (milliseconds: number) => void } {
  let time = 0
  const told: string[] = []
  const record = createLeavingRecord.createLeavingRecord({ onLeaving: (instance, source) => { told.push(`${instance} ${source}`) }, now: () => time })
  return { record, told, advance: (milliseconds) => { time += milliseconds } }
}

nodeTest.test('an announcement holds for one instance, and is told once', () => {
  const { record, told } = createRecord()
  record.noteResponse(FIRST)
  record.noteResponse(FIRST)
  record.noteFromPeer(types.formatBackEndInstanceId(FIRST.id, FIRST.bornAt))
  assert.equal(record.isLeaving(FIRST), true)
  assert.equal(record.isLeaving(RESTARTED), false)
  assert.deepEqual(told, ['i-1/1 answer'])
})

nodeTest.test('an announcement outlasts a gap in the list, and is forgotten long after the entry has gone', () => {
  const { record, advance } = createRecord()
  record.noteResponse(FIRST)
  for (let elapsedMs = 0; elapsedMs <= createLeavingRecord.LEAVING_RETENTION_MS; elapsedMs += STEP_MS) {
    record.removeUnlisted([])
    assert.equal(record.isLeaving(FIRST), true)
    advance(STEP_MS)
  }
  record.removeUnlisted([])
  assert.equal(record.count(), 0)
})

nodeTest.test('an announcement holds as long as the entry is listed', () => {
  const { record, advance } = createRecord()
  record.noteResponse(FIRST)
  advance(2 * createLeavingRecord.LEAVING_RETENTION_MS)
  record.removeUnlisted([FIRST])
  record.removeUnlisted([])
  assert.equal(record.isLeaving(FIRST), true)
})
