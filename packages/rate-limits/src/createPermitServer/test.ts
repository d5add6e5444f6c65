import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as types from '@switchridge/types'
import * as permitWire from '../_lib/permitWire.js'
import * as createPermitCounter from '../createPermitCounter/index.js'
import * as createPermitServer from './index.js'

const LIFE = types.brandId<types.BackEndLife>('engine-1')
const ASKER = '10.0.0.1'

interface Opened {
  time: number
  part: number | null
  readonly receive: createPermitServer.PermitServer['receive']
  readonly replies: Array<permitWire.PermitReply | null>
  readonly dropped: unknown[]
}

function open (): Opened {
  const opened = { time: 0, part: 1 as number | null, replies: [] as Opened['replies'], dropped: [] as unknown[] }
  const server = createPermitServer.createPermitServer({
    counter: createPermitCounter.createPermitCounter(() => opened.time),
    partOf: () => opened.part,
    send: (_host, bytes) => { opened.replies.push(permitWire.decodeReply(bytes)) },
    count: (name, labels) => { if (name === 'datagrams_dropped') opened.dropped.push(labels) },
    now: () => opened.time
  })
  return Object.assign(opened, { receive: server.receive })
}

function ask (number: number): Buffer {
  return permitWire.formatAsk({ number, life: LIFE, perSecond: 1, ageMs: 0, isLate: false })
}

nodeTest.test('an ask that comes twice takes one permit and gets one answer', () => {
  const opened = open()
  opened.receive(ask(1), ASKER)
  opened.time = 1000
  opened.receive(ask(2), ASKER)
  opened.receive(ask(2), ASKER)
  opened.receive(ask(3), ASKER)
  assert.deepEqual(opened.replies.map((reply) => reply?.waitMs), [1000, 0, 0, 1000])
})

nodeTest.test('a daemon that does not count gives nothing', () => {
  const opened = open()
  opened.part = null
  opened.time = 10_000
  opened.receive(ask(1), ASKER)
  assert.ok((opened.replies[0]?.waitMs ?? 0) > 0)
})

nodeTest.test('other datagrams are left to others, and bad ones are counted and dropped', () => {
  const opened = open()
  assert.equal(opened.receive(Buffer.from('["h",1]'), ASKER), false)
  for (const text of ['["p",', '["p",1]', '["p",1,"",1,1]', '["p",1,"x",0,1]', '["p",1,"x",-1,1]', '["p",null,"x",1,1]']) assert.equal(opened.receive(Buffer.from(text), ASKER), true)
  assert.equal(opened.dropped.length, 6)
  assert.equal(opened.replies.length, 0)
})

nodeTest.test('no bytes break a decoder', () => {
  fastCheck.assert(fastCheck.property(fastCheck.uint8Array({ maxLength: 60 }), fastCheck.json(), (bytes, json) => {
    for (const buffer of [Buffer.from(bytes), Buffer.from(json)]) {
      permitWire.decodeAsk(buffer)
      permitWire.decodeReply(buffer)
    }
  }), { seed: 7 })
})

nodeTest.test('asks and answers come back as they were sent', () => {
  const asked = { number: 5, life: LIFE, perSecond: 0.5, ageMs: 12, isLate: true }
  assert.deepEqual(permitWire.decodeAsk(permitWire.formatAsk(asked)), asked)
  assert.deepEqual(permitWire.decodeReply(permitWire.formatReply({ number: 5, waitMs: 0.2 })), { number: 5, waitMs: 1 })
})
