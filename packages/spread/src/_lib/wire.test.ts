import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as types from '@switchridge/types'
import * as factWire from './factWire.js'
import type * as heartbeats from './heartbeat.js'
import * as wire from './wire.js'

const SEED = 11
const RUNS = 200
/** The format rounds to tenths of milliseconds. */
const TENTHS = 10
const AUDIENCES: readonly wire.Audience[] = ['nobody', 'gateways', 'all']

const tenths = fastCheck.integer({ min: 0, max: 1_000_000_000 }).map((value) => value / TENTHS)
const origin = fastCheck.record({ sentAt: tenths, incarnation: fastCheck.oneof(fastCheck.constant(null), fastCheck.string().map((id) => types.brandId<types.IncarnationId>(id))) }, { noNullPrototype: true })
const wholeMs = fastCheck.nat(1_000_000)
const version = fastCheck.record({ model: fastCheck.string(), version: fastCheck.nat(), ageMs: tenths }, { noNullPrototype: true })
const kind = fastCheck.string().filter((name) => name !== '__proto__')
const host = fastCheck.oneof(fastCheck.ipV4(), fastCheck.ipV6(), fastCheck.stringMatching(/^[a-z][a-z0-9-]{0,30}$/))
const state = fastCheck.record({ at: fastCheck.nat(), digest: fastCheck.string() }, { noNullPrototype: true })
const engine = fastCheck.oneof(fastCheck.constant(null), fastCheck.array(fastCheck.oneof(fastCheck.nat(), fastCheck.string(), fastCheck.boolean())))

function anyHeartbeat (isComplete: boolean): fastCheck.Arbitrary<heartbeats.Heartbeat> {
  return fastCheck.record({
    node: fastCheck.string().map((name) => types.brandId<types.NodeId>(name)),
    role: fastCheck.constantFrom('gateway' as const, 'agent' as const),
    zone: isComplete ? fastCheck.string() : fastCheck.constant('hall-1'),
    host,
    isLeaving: fastCheck.boolean(),
    isStoreLost: fastCheck.boolean(),
    copies: isComplete ? fastCheck.dictionary(kind, state, { noNullPrototype: true }) : fastCheck.constant({}),
    versions: isComplete ? fastCheck.array(version) : fastCheck.constant([]),
    suspects: fastCheck.array(fastCheck.string()),
    engine
  }, { noNullPrototype: true })
}

function decode (text: string): wire.Message {
  const decoded = wire.decode(Buffer.from(text))
  assert.ok(decoded.ok, decoded.ok ? '' : decoded.reason)
  return decoded.message
}

nodeTest.test('a heartbeat is parsed as it was formatted', () => {
  fastCheck.assert(fastCheck.property(origin, anyHeartbeat(true), fastCheck.nat(), fastCheck.constantFrom(...AUDIENCES), (sent, heartbeat, viewHash, urgency) => {
    assert.deepEqual(decode(wire.formatHeartbeat(sent, heartbeat, viewHash, urgency)), { type: 'heartbeat', origin: sent, heartbeat, viewHash, urgency })
  }), { seed: SEED, numRuns: RUNS })
})

nodeTest.test('a digest is parsed as it was formatted, from datagrams that are complete by themselves', () => {
  const member = fastCheck.record({ heartbeat: anyHeartbeat(false), ageMs: wholeMs, delayMs: wholeMs }, { noNullPrototype: true })
  const copies = fastCheck.dictionary(kind, fastCheck.record({ state, host }, { noNullPrototype: true }), { noNullPrototype: true, maxKeys: 4 })
  fastCheck.assert(fastCheck.property(fastCheck.array(member, { maxLength: 40 }), copies, fastCheck.array(version, { maxLength: 4 }), (members, hallCopies, versions) => {
    const header: wire.DigestHeader = { sentAt: 1, delayMs: 0, audience: 'all', range: ['a', 'b'], ingressHost: 'c' }
    const parts = wire.formatDigestBodies({ zone: 'hall-1', copies: hallCopies, versions, members }).map((body) => decode(wire.formatDigest(header, body)))
    const digests = parts.map((part) => part.type === 'digest' ? part.digest : assert.fail(part.type))
    assert.deepEqual(digests.flatMap((digest) => digest.members), members)
    assert.deepEqual(digests[0]?.copies, hallCopies)
    assert.deepEqual(digests[0]?.versions, versions)
    assert.ok(parts.every((part) => part.type === 'digest' && assert.deepEqual(part.header, header) === undefined))
  }), { seed: SEED, numRuns: RUNS })
})

nodeTest.test('a digest of a large hall is split into datagrams that routers do not fragment', () => {
  const members = Array.from({ length: 160 }, (_, at): wire.DigestMember => ({
    ageMs: 100,
    delayMs: 1,
    heartbeat: { node: types.brandId(`agent-${at}`), role: 'agent', zone: 'hall-1', host: `10.40.0.${at}`, isLeaving: false, isStoreLost: false, copies: {}, versions: [], suspects: [], engine: [`10.40.0.${at}:9000`, 0, null, 3, 0, 12_345, 65_536, 0, 123_456, 0.01234, [['base', 3]]] }
  }))
  const header: wire.DigestHeader = { sentAt: 123_456_789.1, delayMs: 12.3, audience: 'gateways', range: ['10.240.100.100', '10.240.100.200'], ingressHost: '10.240.100.150' }
  const bodies = wire.formatDigestBodies({ zone: 'hall-1', copies: { configuration: { state: { at: 7, digest: 'd7' }, host: '10.40.0.1' } }, versions: [], members })
  for (const body of bodies) assert.ok(wire.formatDigest(header, body).length <= wire.DATAGRAM_BYTES)
  const bytes = bodies.reduce((sum, body) => sum + body.length, 0)
  assert.ok(bytes / members.length <= 120, `${bytes / members.length} bytes a member`)
})

nodeTest.test('any bytes are parsed or dropped with a reason', () => {
  fastCheck.assert(fastCheck.property(fastCheck.oneof(fastCheck.uint8Array(), fastCheck.json().map((text) => Buffer.from(text)), fastCheck.array(fastCheck.jsonValue()).map((list) => Buffer.from(JSON.stringify(['h', ...list]))), fastCheck.array(fastCheck.jsonValue()).map((list) => Buffer.from(`["d",1,0,1]\n${JSON.stringify(list)}`))), (bytes) => {
    const decoded = wire.decode(Buffer.from(bytes))
    assert.ok(decoded.ok || ['not-json', 'unknown-kind', 'bad-shape'].includes(decoded.reason))
  }), { seed: SEED, numRuns: RUNS })
})

/** Guards against a request to a peer that throws because its host is none. */
nodeTest.test('a datagram with a host that no request can be sent to is dropped', () => {
  const heartbeat = fastCheck.sample(anyHeartbeat(true), { seed: SEED, numRuns: 1 })[0] as heartbeats.Heartbeat
  for (const odd of ['', ' ', 'a b', 'a:1', '999.1.1.1', '1.2.3.4.5', '東京', 'a\r\nb', 'a/b', 'a@b', '[::1]', 'a'.repeat(300)]) {
    const texts = [
      wire.formatHeartbeat({ sentAt: 1, incarnation: null }, { ...heartbeat, host: odd }, 1, 'all'),
      `["a",[${JSON.stringify(odd)}]]`,
      wire.formatDigest({ sentAt: 1, delayMs: 0, audience: 'all', range: null, ingressHost: '' }, JSON.stringify(['hall-1', {}, [], [['n', odd, 0, 0, 0, 0, null]]]))
    ]
    for (const text of texts) assert.deepEqual(wire.decode(Buffer.from(text)), { ok: false, reason: 'bad-shape' }, text.slice(0, 100))
  }
})

nodeTest.test('datagrams with parts that are nested too deeply to be formatted for others are dropped', () => {
  const deep = '['.repeat(16_000) + ']'.repeat(16_000)
  const texts = [`["h",1,0,"n","z","127.0.0.9",1,0,{},[],[],${deep},"x"]`, `["n",1,${deep},"x"]`, `["d",1,0,0]\n["z",{},[],[["n","127.0.0.9",0,0,0,0,${deep}]]]`]
  for (const text of texts) assert.deepEqual(wire.decode(Buffer.from(text)), { ok: false, reason: 'bad-shape' })
  assert.equal(factWire.decodeFacts(Buffer.from(`["f",[["id",1,1000,${deep}]]]`)), null)
  const facts = factWire.decodeFacts(Buffer.from('["f",[["id",1,1000,[[[["a"]]]]]]]'))
  assert.ok(facts?.type === 'facts' && facts.facts.length === 1)
})
