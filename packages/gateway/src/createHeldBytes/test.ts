import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as createHeldBytes from './index.js'

const MAXIMUM_BYTES = 1000

interface Fixture {
  time: number
  readonly held: createHeldBytes.HeldBytes
  readonly dropped: string[]
  readonly open: (name: string) => createHeldBytes.CallHolding
}

function createFixture (maximumBytes = MAXIMUM_BYTES): Fixture {
  const fixture = { time: 0, dropped: [] as string[] }
  const held = createHeldBytes.createHeldBytes({ maximumBytes, now: () => fixture.time })
  return Object.assign(fixture, { held, open: (name: string) => held.open(({ phase, bytes, stalledMs }) => { fixture.dropped.push(`${name} ${phase} ${bytes} ${stalledMs}`) }) })
}

nodeTest.test('the bytes of bodies and unread responses are summed until they are sent, read or closed', () => {
  const { held, open } = createFixture()
  const call = open('call')
  assert.equal(call.noteUpload(300), true)
  call.noteRunning()
  call.noteUnread(50)
  assert.equal(held.read(), 350)
  assert.equal(held.readUploads(), 300)
  call.noteRun()
  call.noteUnread(0)
  assert.equal(held.read(), 0)
  call.noteUnread(70)
  assert.equal(held.readUploads(), 0)
  call.close()
  call.noteUnread(80)
  assert.equal(held.read(), 0)
})

/** Guards against a process that ends for want of memory, and against ending calls that engines run while there are callers that don't read. */
nodeTest.test('the caller that has stalled longest is dropped first, then further bodies are refused, and no running call is ended', () => {
  const fixture = createFixture()
  const [running, recent, oldest, upload] = ['running', 'recent', 'oldest', 'upload'].map(fixture.open) as [createHeldBytes.CallHolding, createHeldBytes.CallHolding, createHeldBytes.CallHolding, createHeldBytes.CallHolding]
  for (const call of [running, recent, oldest]) call.noteRunning()
  running.noteUpload(400)
  running.noteRunning()
  oldest.noteUnread(200)
  fixture.time = 500
  upload.noteUpload(200)
  fixture.time = 1200
  recent.noteUnread(200)
  assert.deepEqual(fixture.dropped, [])
  fixture.time = 1600
  const next = fixture.open('next')
  assert.equal(next.noteUpload(150), true)
  assert.deepEqual(fixture.dropped, ['oldest answer 200 1600'])
  assert.equal(fixture.open('large').noteUpload(250), true)
  assert.deepEqual(fixture.dropped, ['oldest answer 200 1600', 'upload upload 200 1100'])
  assert.equal(fixture.open('last').noteUpload(300), false, 'nobody else has stalled')
  assert.equal(fixture.dropped.length, 2)
  assert.equal(fixture.held.read(), 1000)
})

nodeTest.test('a caller that sends or reads now and then is not dropped', () => {
  const fixture = createFixture()
  const [upload, reader] = [fixture.open('upload'), fixture.open('reader')]
  reader.noteRunning()
  for (let sent = 1; sent <= 9; sent += 1) {
    fixture.time += 900
    reader.noteUnread(100)
    reader.noteUnread(0)
    reader.noteUnread(100)
    assert.equal(upload.noteUpload(sent * 100), true)
  }
  assert.equal(fixture.open('other').noteUpload(200), false)
  assert.deepEqual(fixture.dropped, [])
})

/** Guards against callers that are cut in the middle of a large response that they read. */
nodeTest.test('a caller that reads a part of a response now and then is not dropped until it stalls, and one that reads nothing is', () => {
  const fixture = createFixture()
  const [reader, deaf] = [fixture.open('reader'), fixture.open('deaf')]
  reader.noteUnread(900)
  deaf.noteUnread(90)
  for (let parts = 0; parts < 4; parts += 1) {
    fixture.time += 900
    reader.noteRead()
  }
  assert.equal(fixture.held.read(), 990)
  assert.equal(fixture.open('next').noteUpload(100), true)
  assert.deepEqual(fixture.dropped, ['deaf answer 90 3600'])
  assert.equal(fixture.open('refused').noteUpload(100), false)
  fixture.time += 1800
  assert.equal(fixture.open('later').noteUpload(100), true)
  assert.deepEqual(fixture.dropped.slice(1), ['reader answer 900 1800'])
})

/** Guards against callers that are cut while they read, because the system takes further bytes in steps that take them more than a second. */
nodeTest.test('a caller that reads in regular steps is not dropped for a pause up to twice as long, and for at most five seconds', () => {
  for (const { stepMs, limitMs } of [{ stepMs: 400, limitMs: 1000 }, { stepMs: 1400, limitMs: 2800 }, { stepMs: 4000, limitMs: 5000 }]) {
    const fixture = createFixture()
    const reader = fixture.open('reader')
    reader.noteUnread(900)
    fixture.time += stepMs
    reader.noteRead()
    fixture.time += limitMs - 1
    assert.equal(fixture.open('early').noteUpload(200), false)
    assert.deepEqual(fixture.dropped, [])
    fixture.time += 1
    assert.equal(fixture.open('late').noteUpload(200), true)
    assert.deepEqual(fixture.dropped, [`reader answer 900 ${limitMs}`])
  }
})

/** Guards against a sum that drifts away from what is held, after which everything or nothing would be refused. */
nodeTest.test('the sum never exceeds the bound by more than unread responses, and is zero when all calls have closed', () => {
  const step = fastCheck.record({ call: fastCheck.integer({ min: 0, max: 9 }), action: fastCheck.constantFrom('upload', 'running', 'run', 'unread', 'read', 'close'), bytes: fastCheck.integer({ min: 0, max: 600 }), passMs: fastCheck.integer({ min: 0, max: 900 }) })
  fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 200 }), (steps) => {
    const fixture = createFixture()
    const calls = Array.from({ length: 10 }, (_, index) => fixture.open(String(index)))
    const unread = new Map<number, number>()
    for (const { call, action, bytes, passMs } of steps) {
      fixture.time += passMs
      const holding = calls[call] as createHeldBytes.CallHolding
      if (action === 'upload') holding.noteUpload(bytes)
      else if (action === 'running') holding.noteRunning()
      else if (action === 'run') holding.noteRun()
      else if (action === 'close') holding.close()
      else {
        unread.set(call, action === 'unread' ? bytes : 0)
        holding.noteUnread(unread.get(call) ?? 0)
      }
      const unreadBytes = [...unread.values()].reduce((sum, each) => sum + each, 0)
      assert.ok(fixture.held.read() >= 0 && fixture.held.read() <= MAXIMUM_BYTES + unreadBytes)
    }
    for (const holding of calls) holding.close()
    assert.equal(fixture.held.read(), 0)
  }), { seed: 11 })
})
