import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as permitWire from '../_lib/permitWire.js'
import * as createPermitCounter from '../createPermitCounter/index.js'
import type * as chooseCounter from '../chooseCounter/index.js'
import type * as rateLimits from '../types/index.js'
import * as createPermitClient from './index.js'

const LIFE = types.brandId<types.BackEndInstanceId>('engine-1')
const LIMIT: rateLimits.RateLimit = { life: LIFE, perSecond: 2, receivedAt: 0 }
const OWN_HOST = '10.0.0.1'
const COUNTER_HOST = '10.0.0.2'

interface Fixture {
  time: number
  chosen: chooseCounter.ChosenCounter | null
  readonly client: createPermitClient.PermitClient
  readonly sent: permitWire.PermitRequest[]
  /** Runs the oldest timer. */
  readonly expire: () => void
  readonly counts: string[]
}

function createFixture (): Fixture {
  let timers: Array<() => void> = []
  const fixture = { time: 0, chosen: { host: COUNTER_HOST, part: 1 } as chooseCounter.ChosenCounter | null, sent: [] as permitWire.PermitRequest[], counts: [] as string[], expire: () => { timers.shift()?.() } }
  const client = createPermitClient.createPermitClient({
    ownHost: OWN_HOST,
    counter: createPermitCounter.createPermitCounter(() => fixture.time),
    findCounter: () => fixture.chosen,
    send: (_host, bytes) => { fixture.sent.push(permitWire.decodeRequest(bytes) as permitWire.PermitRequest) },
    count: (name) => { fixture.counts.push(name) },
    at: (_time, action) => {
      timers.push(action)
      return () => { timers = timers.filter((each) => each !== action) }
    },
    now: () => fixture.time,
    random: () => 0.5
  })
  return Object.assign(fixture, { client })
}

function formatReplyToLast ({ sent }: Fixture, waitMs: number): Buffer {
  return permitWire.formatReply({ requestId: sent.at(-1)?.requestId ?? 0, waitMs })
}

nodeTest.test('a permit is requested from the counter, with the limit and its age', async () => {
  const fixture = createFixture()
  fixture.time = 40
  const decision = fixture.client.acquire(LIMIT, false)
  assert.deepEqual(fixture.sent.map(({ life, perSecond, ageMs }) => ({ life, perSecond, ageMs })), [{ life: LIFE, perSecond: 2, ageMs: 40 }])
  assert.ok(fixture.client.waitMs(LIFE, false) > 0, 'other calls choose another back end while the request is pending')
  fixture.client.receive(formatReplyToLast(fixture, 0), COUNTER_HOST)
  assert.deepEqual(await decision, { isGranted: true })
  assert.equal(fixture.client.waitMs(LIFE, false), 0)
})

nodeTest.test('after a refusal no permit is requested until one is expected', async () => {
  const fixture = createFixture()
  const decision = fixture.client.acquire(LIMIT, false)
  fixture.client.receive(formatReplyToLast(fixture, 300), COUNTER_HOST)
  assert.deepEqual(await decision, { isGranted: false, waitMs: 300 })
  assert.equal(fixture.client.waitMs(LIFE, false), 300)
  fixture.time = 300
  assert.equal(fixture.client.waitMs(LIFE, false), 0)
})

nodeTest.test('without a reply in time no permit is granted, and one that arrives later expires', async () => {
  const fixture = createFixture()
  const decision = fixture.client.acquire(LIMIT, false)
  const late = formatReplyToLast(fixture, 0)
  fixture.expire()
  fixture.expire()
  assert.equal((await decision).isGranted, false)
  fixture.client.receive(late, COUNTER_HOST)
  assert.ok(fixture.client.waitMs(LIFE, false) > 0)
  assert.ok(fixture.counts.includes('permits_lapsed'))
})

nodeTest.test('a permit expires if it arrives after the timeout but before its timer runs, as after a suspension', async () => {
  const fixture = createFixture()
  const decision = fixture.client.acquire(LIMIT, false)
  fixture.time = 5000
  fixture.client.receive(formatReplyToLast(fixture, 0), COUNTER_HOST)
  fixture.expire()
  fixture.expire()
  assert.equal((await decision).isGranted, false)
})

nodeTest.test('a request without a prompt reply is sent once more with the same id', async () => {
  const fixture = createFixture()
  const decision = fixture.client.acquire(LIMIT, false)
  fixture.expire()
  assert.equal(fixture.sent.length, 2)
  assert.equal(fixture.sent[0]?.requestId, fixture.sent[1]?.requestId)
  fixture.client.receive(formatReplyToLast(fixture, 0), COUNTER_HOST)
  assert.equal((await decision).isGranted, true)
})

nodeTest.test('a permit from a daemon that was not asked is ignored', async () => {
  const fixture = createFixture()
  const decision = fixture.client.acquire(LIMIT, false)
  fixture.client.receive(formatReplyToLast(fixture, 0), '10.0.0.9')
  fixture.client.receive(formatReplyToLast(fixture, 200), COUNTER_HOST)
  assert.equal((await decision).isGranted, false)
})

nodeTest.test('a gateway that is the counter itself sends no datagrams', async () => {
  const fixture = createFixture()
  fixture.chosen = { host: OWN_HOST, part: 1 }
  assert.equal((await fixture.client.acquire(LIMIT, false)).isGranted, false)
  fixture.time = 500
  assert.equal((await fixture.client.acquire(LIMIT, false)).isGranted, true)
  assert.equal(fixture.sent.length, 0)
})

nodeTest.test('without a counter no permit is granted', async () => {
  const fixture = createFixture()
  fixture.chosen = null
  assert.equal((await fixture.client.acquire(LIMIT, false)).isGranted, false)
  assert.ok(fixture.client.waitMs(LIFE, false) > 0)
})

nodeTest.test('the refusal of a late call does not keep other calls from requesting permits', async () => {
  const fixture = createFixture()
  const decision = fixture.client.acquire(LIMIT, true)
  assert.equal(fixture.sent[0]?.isLate, true)
  fixture.client.receive(formatReplyToLast(fixture, 300), COUNTER_HOST)
  assert.equal((await decision).isGranted, false)
  assert.equal(fixture.client.waitMs(LIFE, false), 0)
  assert.equal(fixture.client.waitMs(LIFE, true), 300)
})

/** Guards against permits of a cold back end that are used so late that more requests than allowed arrive within one second. */
nodeTest.test('a permit for a cold back end expires soon after it was asked for, wherever it comes from', async () => {
  const fixture = createFixture()
  const limit = { life: LIFE, perSecond: null, receivedAt: 0, cold: { perSecond: 10, burst: 1 } }
  const decision = fixture.client.acquire(limit, false)
  fixture.time = 80
  fixture.client.receive(formatReplyToLast(fixture, 0), COUNTER_HOST)
  assert.deepEqual(await decision, { isGranted: true, expiresAt: 150 })
  fixture.chosen = { host: OWN_HOST, part: 1 }
  await fixture.client.acquire(limit, false)
  fixture.time = 5000
  assert.deepEqual(await fixture.client.acquire(limit, false), { isGranted: true, expiresAt: 5150 })
})

/** Guards against a refused call of a low rank that keeps calls of higher ranks from asking. */
nodeTest.test('a refusal of a lower rank keeps only that rank and lower ones from asking', async () => {
  const fixture = createFixture()
  const decision = fixture.client.acquire({ life: LIFE, perSecond: null, receivedAt: 0, cold: { perSecond: 10, burst: 1 }, rank: 1 }, false)
  fixture.client.receive(formatReplyToLast(fixture, 300), COUNTER_HOST)
  await decision
  assert.deepEqual([0, 1, 2].map((rank) => fixture.client.waitMs(LIFE, false, rank)), [0, 300, 300])
  fixture.time = 300
  assert.equal(fixture.client.waitMs(LIFE, false, 1), 0)
})
