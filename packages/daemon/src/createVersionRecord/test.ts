import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createVersionRecord from './index.js'

function createRecord (time: { now: number }): createVersionRecord.VersionRecord {
  return createVersionRecord.createVersionRecord({ boundMs: 8000, marginMs: 1000, startupBoundMs: 2800, onBound: () => {}, now: () => time.now })
}

nodeTest.test('an older version gets no calls once the margin before the deadline begins', () => {
  const time = { now: 0 }
  const versions = createRecord(time)
  time.now = 10_000
  versions.note({ model: 'm', version: 2 }, 0)
  assert.equal(versions.lastBeginAt('m', 1), 17_000)
  assert.equal(versions.lastBeginAt('m', 2), Infinity)
  assert.equal(versions.boundAt('m', 1), 18_000)
  assert.equal(versions.boundAt('m', 2), Infinity)
  assert.equal(versions.lastBeginAt('other', 1), Infinity)
})

nodeTest.test('the highest reported age counts, and a starting process applies a short bound', () => {
  const time = { now: 0 }
  const versions = createRecord(time)
  time.now = 500
  versions.note({ model: 'm', version: 2 }, 0)
  assert.equal(versions.lastBeginAt('m', 1), 2300)
  time.now = 10_000
  versions.note({ model: 'm', version: 3 }, 0)
  versions.note({ model: 'm', version: 3 }, 3000)
  versions.note({ model: 'm', version: 3 }, 1000)
  assert.equal(versions.lastBeginAt('m', 2), 14_000)
})

nodeTest.test('a model without an announced version runs its first one', () => {
  assert.deepEqual(createRecord({ now: 0 }).named('m').map(({ id }) => id.version), [1])
})
