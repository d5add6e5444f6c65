import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as fleetTesting from './fleetTesting.js'
import * as relays from './relays.js'

const SEED = 5
const HALL = 'hall-1'

function plan (host: string, role: 'gateway' | 'agent', zone = HALL): fleetTesting.PlannedDaemon {
  return { host, role, zone, region: 'region-1' }
}

/** Forwards a digest as members do, and counts the copies that each member received and sent. */
function simulateForwarding (sorted: readonly string[], start: number, avoided: ReadonlySet<string>): { received: Map<string, number>, sent: Map<string, number> } {
  const received = new Map<string, number>()
  const sent = new Map<string, number>()
  const [first] = sorted as [string]
  const others = sorted.slice(1)
  const send = (from: string, parts: readonly relays.ForwardingPart[]): void => {
    for (const { host, range } of parts) {
      sent.set(from, (sent.get(from) ?? 0) + 1)
      received.set(host, (received.get(host) ?? 0) + 1)
      send(host, relays.splitAmongForwarders(relays.selectRange(sorted.filter((each) => each !== host), range).filter((each) => each !== first), avoided))
    }
  }
  const from = others.length === 0 ? 0 : start % others.length
  send(first, relays.splitAmongForwarders([...others.slice(from), ...others.slice(0, from)], avoided, 1))
  return { received, sent }
}

nodeTest.test('a digest reaches each member of a hall once, and no member sends more copies than the fan-out', () => {
  const hosts = fastCheck.uniqueArray(fastCheck.string({ minLength: 1 }), { minLength: 1, maxLength: 60 })
  fastCheck.assert(fastCheck.property(hosts, fastCheck.nat(), fastCheck.nat(3), (all, start, avoidedCount) => {
    const sorted = [...all].sort()
    const { received, sent } = simulateForwarding(sorted, start, new Set(sorted.slice(0, avoidedCount)))
    assert.deepEqual([...received.keys()].sort(), sorted.slice(1))
    assert.ok([...received.values()].every((count) => count === 1))
    assert.ok([...sent.values()].every((count) => count <= relays.FAN_OUT))
  }), { seed: SEED })
})

nodeTest.test('overdue hosts forward nothing while others can, and still get the digest', () => {
  const hosts = fastCheck.uniqueArray(fastCheck.string({ minLength: 1 }), { minLength: 1, maxLength: 40 })
  fastCheck.assert(fastCheck.property(hosts, fastCheck.nat(3), fastCheck.nat(), (all, avoidedCount, pick) => {
    const sorted = [...all].sort()
    const overdue = new Set(sorted.filter((_, at) => (pick >> (at % 30)) % 2 === 1))
    const parts = relays.splitAmongForwarders(sorted, new Set(sorted.slice(0, avoidedCount)), relays.FAN_OUT, overdue)
    const ranges = parts.map(({ range }) => relays.selectRange(sorted, range))
    assert.deepEqual(ranges.flat(), sorted)
    for (const [at, { host }] of parts.entries()) {
      const range = ranges[at] as string[]
      assert.ok(host === range[0] || host === range.at(-1))
      assert.ok(!overdue.has(host) || range.every((each) => overdue.has(each)))
    }
  }), { seed: SEED })
})

nodeTest.test('gateways are the relays of a hall, or agents where there is no gateway', () => {
  const agents = ['a', 'b', 'c'].map((host) => plan(`0.0.0.${host}`, 'agent'))
  const gateways = ['d', 'e', 'f', 'g', 'h'].map((host) => plan(`0.0.0.${host}`, 'gateway'))
  const other = plan('0.0.0.i', 'gateway', 'hall-2')
  const members = [...agents, ...gateways, other].map(fleetTesting.describeForRank)
  const ranked = relays.rankCandidates(members, HALL)
  assert.equal(ranked.length, relays.RELAY_CANDIDATES)
  assert.ok(ranked.every((each) => each.role === 'gateway' && each.zone === HALL))
  assert.deepEqual(relays.rankCandidates([...members].reverse(), HALL), ranked)
  const alone = relays.rankCandidates([...agents, other].map(fleetTesting.describeForRank), HALL)
  assert.deepEqual(alone.map((each) => each.role), ['agent', 'agent', 'agent'])
})
