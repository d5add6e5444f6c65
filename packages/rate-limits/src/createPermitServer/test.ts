import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as types from '@switchridge/types'
import * as permitWire from '../_lib/permitWire.js'
import * as createPermitCounter from '../createPermitCounter/index.js'
import * as createPermitServer from './index.js'

const LIFE = types.brandId<types.BackEndInstanceId>('engine-1')
const REQUESTER = '10.0.0.1'

interface Fixture {
  time: number
  part: number | null
  readonly receive: createPermitServer.PermitServer['receive']
  readonly replies: Array<permitWire.PermitReply | null>
  readonly dropped: unknown[]
}

function createFixture (): Fixture {
  const fixture = { time: 0, part: 1 as number | null, replies: [] as Fixture['replies'], dropped: [] as unknown[] }
  const server = createPermitServer.createPermitServer({
    counter: createPermitCounter.createPermitCounter(() => fixture.time),
    grantableFraction: () => fixture.part,
    send: (_host, bytes) => { fixture.replies.push(permitWire.decodeReply(bytes)) },
    count: (name, labels) => { if (name === 'datagrams_dropped') fixture.dropped.push(labels) },
    now: () => fixture.time
  })
  return Object.assign(fixture, { receive: server.receive })
}

function formatRequest (requestId: number): Buffer {
  return permitWire.formatRequest({ requestId, life: LIFE, perSecond: 1, ageMs: 0, isLate: false })
}

nodeTest.test('a duplicate request takes no second permit and gets the same reply', () => {
  const fixture = createFixture()
  fixture.receive(formatRequest(1), REQUESTER)
  fixture.time = 1000
  fixture.receive(formatRequest(2), REQUESTER)
  fixture.receive(formatRequest(2), REQUESTER)
  fixture.receive(formatRequest(3), REQUESTER)
  assert.deepEqual(fixture.replies.map((reply) => reply?.waitMs), [1000, 0, 0, 1000])
})

nodeTest.test('a daemon that is not the counter grants no permit', () => {
  const fixture = createFixture()
  fixture.part = null
  fixture.time = 10_000
  fixture.receive(formatRequest(1), REQUESTER)
  assert.ok((fixture.replies[0]?.waitMs ?? 0) > 0)
})

nodeTest.test('datagrams of other kinds are not handled, and malformed requests are counted and dropped', () => {
  const fixture = createFixture()
  assert.equal(fixture.receive(Buffer.from('["h",1]'), REQUESTER), false)
  for (const text of ['["p",', '["p",1]', '["p",1,"",1,1]', '["p",1,"x",0,1]', '["p",1,"x",-1,1]', '["p",null,"x",1,1]', '["p",1,"x",1,1,0,0,1,1,0]', '["p",1,"x",1,1,0,1,1,1,-1]', '["p",1,"x",1,1,0,1]']) assert.equal(fixture.receive(Buffer.from(text), REQUESTER), true)
  assert.equal(fixture.dropped.length, 9)
  assert.equal(fixture.replies.length, 0)
})

nodeTest.test('the decoders accept arbitrary bytes without throwing', () => {
  fastCheck.assert(fastCheck.property(fastCheck.uint8Array({ maxLength: 60 }), fastCheck.json(), (bytes, json) => {
    for (const buffer of [Buffer.from(bytes), Buffer.from(json)]) {
      permitWire.decodeRequest(buffer)
      permitWire.decodeReply(buffer)
    }
  }), { seed: 7 })
})

nodeTest.test('decoded requests and replies equal the encoded ones', () => {
  const request = { requestId: 5, life: LIFE, perSecond: 0.5, ageMs: 12, isLate: true }
  assert.deepEqual(permitWire.decodeRequest(permitWire.formatRequest(request)), request)
  const cold = { requestId: 6, life: LIFE, perSecond: null, ageMs: 0, isLate: false, cold: { perSecond: 17, burst: 2.5 }, rank: 2 }
  assert.deepEqual(permitWire.decodeRequest(permitWire.formatRequest(cold)), cold)
  const coldAndLimited = { ...cold, perSecond: 3 }
  assert.deepEqual(permitWire.decodeRequest(permitWire.formatRequest(coldAndLimited)), coldAndLimited)
  assert.deepEqual(permitWire.decodeReply(permitWire.formatReply({ requestId: 5, waitMs: 0.2 })), { requestId: 5, waitMs: 1 })
})

/** Guards against counters of older builds that grant the advertised rate of a cold back end. */
nodeTest.test('the fifth field of a request is the lowest rate, which is all that older builds read', () => {
  const request = { requestId: 6, life: LIFE, perSecond: 40, ageMs: 0, isLate: false, cold: { perSecond: 17, burst: 2.5 } }
  assert.equal((JSON.parse(permitWire.formatRequest(request).toString()) as unknown[])[3], 17)
  assert.equal((JSON.parse(permitWire.formatRequest({ ...request, perSecond: null }).toString()) as unknown[])[3], 17)
  assert.equal((JSON.parse(permitWire.formatRequest({ ...request, perSecond: 2 }).toString()) as unknown[])[3], 2)
})
