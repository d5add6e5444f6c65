import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as createColdRecord from './index.js'

const LIFE = types.brandId<types.BackEndInstanceId>('engine-1')

interface Fixture {
  readonly record: createColdRecord.ColdRecord
  readonly events: string[]
  readonly run: (time: number) => void
}

function createFixture (): Fixture {
  const clock = standins.createVirtualClock()
  const events: string[] = []
  const record = createColdRecord.createColdRecord({
    onBegin: (_life, source, remainingMs) => { events.push(`begun ${source} ${remainingMs}`) },
    onEnd: () => { events.push('ended') },
    at: clock.at,
    now: clock.now
  })
  return { record, events, run: clock.run }
}

nodeTest.test('a listed back end is cold from when its entry is first received, for all of the time in it', () => {
  const { record, events, run } = createFixture()
  run(500)
  record.noteListed(LIFE, 4000, 'entry')
  assert.equal(record.readRemainingMs(LIFE), 4000)
  run(4499)
  assert.equal(record.readRemainingMs(LIFE), 1)
  assert.deepEqual(record.inForce(), [LIFE])
  run(4500)
  assert.equal(record.readRemainingMs(LIFE), 0)
  assert.equal(record.isAnyCold(), false)
  assert.deepEqual(events, ['begun list 4000', 'ended'])
})

/** Guards against engines that stay cold for ever because an entry that is listed again, or whose heartbeat counter rises, counts as new each time. */
nodeTest.test('an entry with the same content does not extend coldness, and one written anew does', () => {
  const { record, run } = createFixture()
  record.noteListed(LIFE, 4000, 'entry')
  run(3000)
  record.noteListed(LIFE, 4000, 'entry')
  assert.equal(record.readRemainingMs(LIFE), 1000)
  record.noteListed(LIFE, 2500, 'entry anew')
  assert.equal(record.readRemainingMs(LIFE), 2500)
  run(9000)
  record.noteListed(LIFE, 0, '')
  record.noteListed(LIFE, 4000, 'entry')
  assert.equal(record.readRemainingMs(LIFE), 4000, 'it has become cold again')
})

/** Guards against a cold engine that counts as warm because one of several sources says less. */
nodeTest.test('nothing shortens coldness: neither an entry without it nor an agent that reports less', () => {
  const { record, events, run } = createFixture()
  record.noteListed(LIFE, 4000, 'entry')
  record.noteListed(LIFE, 0, '')
  record.noteCold(LIFE, 1000, 'agent')
  assert.equal(record.readRemainingMs(LIFE), 4000)
  record.noteCold(LIFE, 6000, 'agent')
  run(5000)
  assert.equal(record.readRemainingMs(LIFE), 1000)
  run(7000)
  assert.deepEqual(events, ['begun list 4000', 'ended'])
})

nodeTest.test('warm back ends begin nothing, and back ends that are warm and no longer listed are forgotten', () => {
  const { record, events, run } = createFixture()
  record.noteListed(LIFE, 0, '')
  record.noteCold(LIFE, -1, 'agent')
  assert.equal(record.isAnyCold(), false)
  record.noteListed(LIFE, 4000, 'entry')
  record.retainOnly(new Set())
  assert.equal(record.readRemainingMs(LIFE), 4000)
  run(5000)
  record.retainOnly(new Set())
  record.noteListed(LIFE, 4000, 'entry')
  assert.equal(record.readRemainingMs(LIFE), 4000)
  assert.deepEqual(events, ['begun list 4000', 'ended', 'begun list 4000'])
})
