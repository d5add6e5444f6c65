import * as assert from 'node:assert/strict'
import * as dgram from 'node:dgram'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'
import * as createReservationServer from '../createReservationServer/index.js'
import * as reservationWire from '../_lib/reservationWire.js'
import * as createReservationClient from './index.js'

const GATEWAY = '10.0.0.1'
const AGENT = '10.0.1.1'
const BACK_END: gateway.BackEnd = { id: types.brandId('engine-1'), bornAt: null, service: types.brandId('llm'), address: { host: AGENT, port: 9000 }, zone: 'a', slots: 4, isDraining: false, models: new Map() }
/** Longer than a client waits for a reply. */
const PAUSE_MS = 60
const REQUEST = { promptTokens: 700, withinMs: 300 }

interface ConnectedClient {
  readonly client: createReservationClient.ReservationClient
  readonly asked: unknown[]
  readonly counts: string[]
}

/** Connects a client and the server of an agent with some slots; datagrams for which `isLost` holds are dropped. */
function connectClient (slots: number, isLost: (bytes: Buffer) => boolean = () => false): ConnectedClient {
  const asked: unknown[] = []
  const counts: string[] = []
  const count = (name: string, labels?: Readonly<Record<string, string>>): void => { counts.push(`${name} ${labels?.['answer'] ?? labels?.['reason'] ?? ''}`.trim()) }
  const server = createReservationServer.createReservationServer({
    reserve: (request) => {
      asked.push(request)
      return asked.length <= slots
    },
    send: (host, bytes) => { if (!isLost(bytes) && host === GATEWAY) client.receive(bytes, AGENT) },
    count
  })
  const client: createReservationClient.ReservationClient = createReservationClient.createReservationClient({
    send: (host, bytes) => { if (!isLost(bytes) && host === AGENT) queueMicrotask(() => { server.receive(bytes, GATEWAY) }) },
    count,
    at: (time, action) => {
      const timer = setTimeout(action, time - Date.now())
      return () => { clearTimeout(timer) }
    },
    now: Date.now,
    random: () => 0.5
  })
  return { client, asked, counts }
}

nodeTest.test('an agent replies whether it reserved the requested slot', async () => {
  const { client, asked, counts } = connectClient(1)
  assert.equal(await client.reserve(BACK_END, REQUEST), true)
  assert.equal(await client.reserve(BACK_END, REQUEST), false)
  assert.deepEqual(asked.map((request) => ({ ...(request as typeof REQUEST) })).map(({ promptTokens, withinMs }) => ({ promptTokens, withinMs })), [REQUEST, REQUEST])
  assert.deepEqual(counts, ['slots_answered reserved', 'slots_asked reserved', 'slots_answered refused', 'slots_asked refused'])
})

nodeTest.test('a request without a reply fails soon, and a later reply has no effect', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout', 'Date'] })
  let late: Buffer = Buffer.alloc(0)
  const { client, counts } = connectClient(1, (bytes) => {
    if (!reservationWire.isReply(bytes)) return false
    late = bytes
    return true
  })
  const reserved = client.reserve(BACK_END, REQUEST)
  await new Promise((resolve) => { setImmediate(resolve) })
  context.mock.timers.tick(40)
  assert.equal(await reserved, false)
  assert.equal(client.receive(late, AGENT), true)
  assert.deepEqual(counts, ['slots_answered reserved', 'slots_asked none', 'slots_lapsed'])
})

nodeTest.test('a reply from another host is ignored, and invalid datagrams are counted', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout', 'Date'] })
  const { client, counts } = connectClient(1, () => true)
  const reserved = client.reserve(BACK_END, REQUEST)
  assert.equal(client.receive(reservationWire.formatReply({ number: 2 ** 30 + 1, isReserved: true }), '10.0.9.9'), true)
  assert.equal(client.receive(Buffer.from('["t",broken'), AGENT), true)
  assert.equal(client.receive(Buffer.from('["h",1]'), AGENT), false)
  context.mock.timers.tick(40)
  assert.equal(await reserved, false)
  assert.deepEqual(counts, ['slots_lapsed', 'datagrams_dropped bad-reservation', 'slots_asked none'])
})

/** Guards against an agent's refusal being taken for no reply, upon which calls are sent to a full engine, because the timeout fires before the reply is read. */
nodeTest.test('a pause of the process beyond the timeout does not hide a reply that has arrived', async (context) => {
  const sockets = [dgram.createSocket('udp4'), dgram.createSocket('udp4')] as const
  context.after(() => { for (const socket of sockets) socket.close() })
  for (const socket of sockets) await new Promise<void>((resolve) => { socket.bind(0, '127.0.0.1', resolve) })
  const [agent, gatewaySocket] = sockets
  agent.connect(gatewaySocket.address().port, '127.0.0.1')
  await new Promise((resolve) => { agent.once('connect', resolve) })
  const { client, asked, counts } = connectClient(0, (bytes) => {
    if (reservationWire.isReply(bytes)) agent.send(bytes)
    return reservationWire.isReply(bytes)
  })
  gatewaySocket.on('message', (bytes) => { client.receive(bytes, AGENT) })
  // From this callback on, timers run before sockets are read.
  await new Promise((resolve) => { setImmediate(resolve) })
  const answer = client.ask(BACK_END, REQUEST)
  while (asked.length === 0) await Promise.resolve()
  const pausedUntil = performance.now() + PAUSE_MS
  while (performance.now() < pausedUntil);
  assert.equal(await answer, 'refused')
  assert.deepEqual(counts, ['slots_answered refused', 'slots_asked refused'])
})

nodeTest.test('formatted messages are decoded, and other bytes are neither request nor reply', () => {
  fastCheck.assert(fastCheck.property(fastCheck.nat(), fastCheck.nat(), fastCheck.nat(), fastCheck.boolean(), (number, promptTokens, withinMs, isReserved) => {
    assert.deepEqual(reservationWire.decodeRequest(reservationWire.formatRequest({ number, promptTokens, withinMs })), { number, promptTokens, withinMs })
    assert.deepEqual(reservationWire.decodeReply(reservationWire.formatReply({ number, isReserved })), { number, isReserved })
  }))
  fastCheck.assert(fastCheck.property(fastCheck.string(), (text) => {
    reservationWire.decodeRequest(Buffer.from(`["s",${text}`))
    reservationWire.decodeReply(Buffer.from(`["t",${text}`))
  }))
  fastCheck.assert(fastCheck.property(fastCheck.double({ min: 0, minExcluded: true, max: 1, noNaN: true }), (promptDiscount) => {
    const request = { number: 1, promptTokens: 2, withinMs: 3, promptDiscount }
    assert.deepEqual(reservationWire.decodeRequest(reservationWire.formatRequest(request)), request)
  }))
  for (const text of ['["s",1,1,5,2]', '["s",1,1,5,"1"]', '["s",1,1,5,-0.5]', '["s",1,-1,5]', '["s","1",1,5]', '["s",1]', '["s",1,null,5]']) assert.equal(reservationWire.decodeRequest(Buffer.from(text)), null)
  for (const text of ['["t",1,2]', '["t",1]', '["t",null,1]']) assert.equal(reservationWire.decodeReply(Buffer.from(text)), null)
})
