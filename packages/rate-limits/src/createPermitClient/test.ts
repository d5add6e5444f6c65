import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as permitWire from '../_lib/permitWire.js'
import * as createPermitCounter from '../createPermitCounter/index.js'
import type * as chooseCounter from '../chooseCounter/index.js'
import type * as rateLimits from '../types/index.js'
import * as createPermitClient from './index.js'

const LIFE = types.brandId<types.BackEndLife>('engine-1')
const LIMIT: rateLimits.RateLimit = { life: LIFE, perSecond: 2, heardAt: 0 }
const OWN = '10.0.0.1'
const COUNTER = '10.0.0.2'

interface Opened {
  time: number
  chosen: chooseCounter.ChosenCounter | null
  readonly client: createPermitClient.PermitClient
  readonly sent: permitWire.PermitAsk[]
  /** Does what is due next. */
  readonly expire: () => void
  readonly counts: string[]
}

function open (): Opened {
  let due: Array<() => void> = []
  const opened = { time: 0, chosen: { host: COUNTER, part: 1 } as chooseCounter.ChosenCounter | null, sent: [] as permitWire.PermitAsk[], counts: [] as string[], expire: () => { due.shift()?.() } }
  const client = createPermitClient.createPermitClient({
    ownHost: OWN,
    counter: createPermitCounter.createPermitCounter(() => opened.time),
    findCounter: () => opened.chosen,
    send: (_host, bytes) => { opened.sent.push(permitWire.decodeAsk(bytes) as permitWire.PermitAsk) },
    count: (name) => { opened.counts.push(name) },
    at: (_time, action) => {
      due.push(action)
      return () => { due = due.filter((each) => each !== action) }
    },
    now: () => opened.time,
    random: () => 0.5
  })
  return Object.assign(opened, { client })
}

function reply ({ sent }: Opened, waitMs: number): Buffer {
  return permitWire.formatReply({ number: sent.at(-1)?.number ?? 0, waitMs })
}

nodeTest.test('a permit is asked for at the daemon that counts, with the limit and its age', async () => {
  const opened = open()
  opened.time = 40
  const answer = opened.client.acquire(LIMIT, false)
  assert.deepEqual(opened.sent.map(({ life, perSecond, ageMs }) => ({ life, perSecond, ageMs })), [{ life: LIFE, perSecond: 2, ageMs: 40 }])
  assert.ok(opened.client.waitMs(LIFE, false) > 0, 'other calls go elsewhere meanwhile')
  opened.client.receive(reply(opened, 0), COUNTER)
  assert.deepEqual(await answer, { isGranted: true })
  assert.equal(opened.client.waitMs(LIFE, false), 0)
})

nodeTest.test('after a refusal nobody is asked until a permit is expected', async () => {
  const opened = open()
  const answer = opened.client.acquire(LIMIT, false)
  opened.client.receive(reply(opened, 300), COUNTER)
  assert.deepEqual(await answer, { isGranted: false, waitMs: 300 })
  assert.equal(opened.client.waitMs(LIFE, false), 300)
  opened.time = 300
  assert.equal(opened.client.waitMs(LIFE, false), 0)
})

nodeTest.test('a counter that is silent gives nothing, and its late permit lapses', async () => {
  const opened = open()
  const answer = opened.client.acquire(LIMIT, false)
  const late = reply(opened, 0)
  opened.expire()
  opened.expire()
  assert.equal((await answer).isGranted, false)
  opened.client.receive(late, COUNTER)
  assert.ok(opened.client.waitMs(LIFE, false) > 0)
  assert.ok(opened.counts.includes('permits_lapsed'))
})

nodeTest.test('a permit that comes before the timer but after its time lapses, as after a suspension', async () => {
  const opened = open()
  const answer = opened.client.acquire(LIMIT, false)
  opened.time = 5000
  opened.client.receive(reply(opened, 0), COUNTER)
  opened.expire()
  opened.expire()
  assert.equal((await answer).isGranted, false)
})

nodeTest.test('an ask that is not answered soon is sent once more, as the same one', async () => {
  const opened = open()
  const answer = opened.client.acquire(LIMIT, false)
  opened.expire()
  assert.equal(opened.sent.length, 2)
  assert.equal(opened.sent[0]?.number, opened.sent[1]?.number)
  opened.client.receive(reply(opened, 0), COUNTER)
  assert.equal((await answer).isGranted, true)
})

nodeTest.test('a permit of a daemon that was not asked counts for nothing', async () => {
  const opened = open()
  const answer = opened.client.acquire(LIMIT, false)
  opened.client.receive(reply(opened, 0), '10.0.0.9')
  opened.client.receive(reply(opened, 200), COUNTER)
  assert.equal((await answer).isGranted, false)
})

nodeTest.test('a gateway that counts itself sends nothing', async () => {
  const opened = open()
  opened.chosen = { host: OWN, part: 1 }
  assert.equal((await opened.client.acquire(LIMIT, false)).isGranted, false)
  opened.time = 500
  assert.equal((await opened.client.acquire(LIMIT, false)).isGranted, true)
  assert.equal(opened.sent.length, 0)
})

nodeTest.test('where nobody counts nothing is sent', async () => {
  const opened = open()
  opened.chosen = null
  assert.equal((await opened.client.acquire(LIMIT, false)).isGranted, false)
  assert.ok(opened.client.waitMs(LIFE, false) > 0)
})

nodeTest.test('a refused call that can no longer be in time keeps no other one from asking', async () => {
  const opened = open()
  const answer = opened.client.acquire(LIMIT, true)
  assert.equal(opened.sent[0]?.isLate, true)
  opened.client.receive(reply(opened, 300), COUNTER)
  assert.equal((await answer).isGranted, false)
  assert.equal(opened.client.waitMs(LIFE, false), 0)
  assert.equal(opened.client.waitMs(LIFE, true), 300)
})
