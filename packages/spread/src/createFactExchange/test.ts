import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as createFactExchange from './index.js'

interface FleetShape {
  readonly halls: number
  readonly gatewaysPerHall: number
  /** Fraction of the datagrams that are lost. */
  readonly lossFraction: number
}

interface Gateway {
  readonly host: string
  readonly zone: string
  exchange: createFactExchange.FactExchange
  readonly known: Map<unknown, number>
  datagramsIn: number
  bytesIn: number
}

interface Fleet {
  readonly gateways: Gateway[]
  readonly timeline: standins.VirtualClock
  /** Halls cut off from the others. */
  readonly cut: Set<string>
  /** Hosts that cannot be reached and send nothing. */
  readonly gone: Set<string>
  /** Advances the time until each running gateway knows a fact; returns the milliseconds, or Infinity. */
  readonly advanceUntilKnown: (content: unknown, maximumMs: number) => number
  readonly advance: (milliseconds: number) => void
  /** Restarts the gateway without its facts. */
  readonly restart: (gateway: Gateway) => void
}

const TICK_MS = 100
const LATENCY_MS = { near: 2, far: 5 }
const TTL_MS = 600_000
/** The users' tightest bound for a daemon to catch up after a fault. */
const CONTACT_MS = 3000
/** Facts of one datagram of the largest size. */
const FLOOD_FACTS = 1800
const FLOOD_DATAGRAMS = 10
/** Passes over all facts that a datagram may cause, however many facts it brings. */
const PASSES_PER_DATAGRAM = 4

function startFleet ({ halls, gatewaysPerHall, lossFraction }: FleetShape, seed = 7): Fleet {
  const timeline = standins.createVirtualClock()
  const random = standins.createSeededRandom(seed)
  const cut = new Set<string>()
  const gone = new Set<string>()
  const { now } = timeline
  const gateways: Gateway[] = []

  function canReach (from: Gateway, to: Gateway): boolean {
    if (gone.has(from.host) || gone.has(to.host)) return false
    return from.zone === to.zone || (!cut.has(from.zone) && !cut.has(to.zone))
  }

  function create (self: Omit<Gateway, 'exchange'>): createFactExchange.FactExchange {
    return createFactExchange.createFactExchange({
      zone: self.zone,
      peers: () => gateways.filter((other) => other.host !== self.host && canReach(self as Gateway, other)),
      send: (host, bytes) => {
        const to = gateways.find((other) => other.host === host)
        if (to === undefined || random() < lossFraction) return
        timeline.at(now() + (to.zone === self.zone ? LATENCY_MS.near : LATENCY_MS.far), () => {
          if (!canReach(self as Gateway, to)) return
          to.datagramsIn += 1
          to.bytesIn += bytes.length
          to.exchange.receive(bytes, self.host)
        })
      },
      onFact: (content) => { self.known.set(content, now()) },
      onDrop: () => { assert.fail('a datagram could not be read') },
      schedule: (delayMs, action) => { timeline.at(now() + delayMs, action) },
      now,
      random
    })
  }

  for (let index = 0; index < halls * gatewaysPerHall; index += 1) {
    const self = { host: `10.0.0.${index}`, zone: `hall-${index % halls}`, known: new Map<unknown, number>(), datagramsIn: 0, bytesIn: 0 }
    const gateway: Gateway = Object.assign(self, { exchange: null as unknown as createFactExchange.FactExchange })
    gateway.exchange = create(gateway)
    gateways.push(gateway)
  }
  for (const gateway of gateways) {
    const tick = (): void => {
      gateway.exchange.tick()
      timeline.at(now() + TICK_MS, tick)
    }
    timeline.at(random() * TICK_MS, tick)
  }

  function advance (milliseconds: number): void {
    timeline.run(now() + milliseconds)
  }

  return {
    gateways,
    timeline,
    cut,
    gone,
    advance,
    restart: (gateway) => {
      gateway.known.clear()
      gateway.exchange = create(gateway)
    },
    advanceUntilKnown: (content, maximumMs) => {
      for (let passed = 0; passed <= maximumMs; passed += 1) {
        if (gateways.every((each) => gone.has(each.host) || each.known.has(content))) return passed
        advance(1)
      }
      return Infinity
    }
  }
}

function publishFact (fleet: Fleet, index: number, content: unknown): void {
  const gateway = fleet.gateways[index] as Gateway
  gateway.known.set(content, fleet.timeline.now())
  gateway.exchange.publish(content, TTL_MS)
}

const SMALL: FleetShape = { halls: 3, gatewaysPerHall: 3, lossFraction: 0 }
const LARGE: FleetShape = { halls: 5, gatewaysPerHall: 20, lossFraction: 0 }

for (const [name, shape, boundMs] of [['nine gateways in three halls', SMALL, 60], ['100 gateways in five halls', LARGE, 60]] as const) {
  nodeTest.test(`a fact reaches ${name} within 60 ms`, (context) => {
    const fleet = startFleet(shape)
    fleet.advance(12_000)
    publishFact(fleet, 0, 'fact')
    const tookMs = fleet.advanceUntilKnown('fact', CONTACT_MS)
    context.diagnostic(`${tookMs} ms`)
    assert.ok(tookMs <= boundMs, `known after ${tookMs} ms`)
  })
}

nodeTest.test('a fact reaches all gateways in time although one datagram in twenty is lost', (context) => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const fleet = startFleet({ ...LARGE, lossFraction: 0.05 }, seed)
    fleet.advance(12_000)
    publishFact(fleet, 0, 'fact')
    const tookMs = fleet.advanceUntilKnown('fact', 2 * CONTACT_MS)
    context.diagnostic(`seed ${seed}: ${tookMs} ms`)
    assert.ok(tookMs <= CONTACT_MS, `known after ${tookMs} ms`)
  }
})

nodeTest.test('facts created on both sides of a partition reach their own side at once, and all gateways in time after it', (context) => {
  const fleet = startFleet({ ...LARGE, lossFraction: 0.01 })
  fleet.advance(12_000)
  fleet.cut.add('hall-1')
  publishFact(fleet, 0, 'outside')
  publishFact(fleet, 1, 'inside')
  fleet.advance(500)
  for (const gateway of fleet.gateways) assert.ok(gateway.known.has(gateway.zone === 'hall-1' ? 'inside' : 'outside'))
  fleet.advance(7000)
  fleet.cut.clear()
  const tookMs = Math.max(fleet.advanceUntilKnown('inside', CONTACT_MS), fleet.advanceUntilKnown('outside', CONTACT_MS))
  context.diagnostic(`${tookMs} ms after the cut`)
  assert.ok(tookMs <= CONTACT_MS, `known after ${tookMs} ms`)
})

nodeTest.test('a gateway that restarts receives all facts in time, and its new facts reach the others', (context) => {
  const fleet = startFleet(LARGE)
  for (let index = 0; index < 100; index += 1) publishFact(fleet, index, `fact-${index}`)
  fleet.advance(2000)
  const restarted = fleet.gateways[7] as Gateway
  fleet.restart(restarted)
  const tookMs = Math.max(...Array.from({ length: 100 }, (_, index) => fleet.advanceUntilKnown(`fact-${index}`, CONTACT_MS)))
  context.diagnostic(`${tookMs} ms`)
  assert.ok(tookMs <= CONTACT_MS, `known after ${tookMs} ms`)
  publishFact(fleet, 7, 'new')
  assert.ok(fleet.advanceUntilKnown('new', CONTACT_MS) <= CONTACT_MS)
})

nodeTest.test('an idle fleet without facts sends nothing, one with facts little, and a burst stays within the bytes for control', (context) => {
  const fleet = startFleet(LARGE)
  fleet.advance(12_000)
  const reset = (): void => { for (const gateway of fleet.gateways) Object.assign(gateway, { datagramsIn: 0, bytesIn: 0 }) }
  const busiest = (): number => Math.max(...fleet.gateways.map(({ bytesIn }) => bytesIn))
  reset()
  fleet.advance(10_000)
  assert.equal(busiest(), 0)
  const calls = Array.from({ length: 4 }, (_, index) => `fingerprin${index}`)
  reset()
  for (let end = 0; end < 20; end += 1) {
    for (let gateway = 0; gateway < 5; gateway += 1) publishFact(fleet, (end * 7 + gateway * 13) % 100, ['e', `i-${end}`, gateway, ...calls])
    fleet.advance(50)
  }
  context.diagnostic(`20 ends within a second, each sent by 5 gateways: ${busiest()} bytes in at the busiest one`)
  assert.ok(busiest() <= 16_384)
  fleet.advance(3000)
  reset()
  fleet.advance(10_000)
  context.diagnostic(`after it: ${busiest() / 10} bytes a second`)
  assert.ok(busiest() / 10 <= 300)
})

nodeTest.test('facts expire in time, and their number is bounded', () => {
  const fleet = startFleet(SMALL)
  const [first] = fleet.gateways as [Gateway]
  first.exchange.publish('short', 1000)
  fleet.advance(3000)
  assert.ok(fleet.gateways.every(({ exchange }) => exchange.count() === 0))
  for (let index = 0; index < 2 * createFactExchange.MAXIMUM_FACTS; index += 1) first.exchange.publish(index, TTL_MS)
  fleet.advance(30_000)
  assert.ok(fleet.gateways.every(({ exchange }) => exchange.count() <= createFactExchange.MAXIMUM_FACTS))
})

nodeTest.test('malformed datagrams are dropped, and those of other exchanges are not handled', () => {
  let dropped = 0
  const received: unknown[] = []
  const exchange = createFactExchange.createFactExchange({
    zone: 'hall', peers: () => [], send: () => {}, onFact: (content) => { received.push(content) }, onDrop: () => { dropped += 1 }, schedule: () => {}, now: () => 0, random: () => 0.5
  })
  assert.equal(exchange.receive(Buffer.from('["h",1]'), '10.0.0.1'), false)
  for (const text of ['["f",', '["f",7]', '["q","x"]']) assert.equal(exchange.receive(Buffer.from(text), '10.0.0.1'), true)
  assert.equal(dropped, 3)
  exchange.receive(Buffer.from('["f",[null,["id"],["id",-1,5,"past"],["id",0,5000,"fact"],["id",0,5000,"twice"]]]'), '10.0.0.1')
  assert.deepEqual(received, ['fact'])
})

/**
 * Guards against digests in which the hashes of consecutive facts cancel out. With the exclusive or of a polynomial hash of the ids, the first four facts of a
 * gateway had the digest of no facts for 489 of 1,000 prefixes, so that a restarted gateway never learned of a call that all others refused.
 */
nodeTest.test('the digest of consecutive facts never equals that of no facts for a gateway that restarts', () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const fleet = startFleet({ halls: 1, gatewaysPerHall: 2, lossFraction: 0 }, seed)
    for (const fact of ['one', 'two', 'three', 'four']) publishFact(fleet, 0, fact)
    fleet.advance(1000)
    fleet.restart(fleet.gateways[1] as Gateway)
    assert.ok(fleet.advanceUntilKnown('four', CONTACT_MS) <= CONTACT_MS, `seed ${seed}`)
  }
})

nodeTest.test('a datagram of many new facts does not cause a pass over all facts for each of them, and the facts that expire last are kept', (context) => {
  const { now } = standins.createVirtualClock()
  const sent: string[] = []
  const exchange = createFactExchange.createFactExchange({
    zone: 'zone-a',
    peers: () => [],
    send: (_host, bytes) => { sent.push(bytes.toString()) },
    onFact: () => {},
    onDrop: assert.fail,
    schedule: () => {},
    now,
    random: () => 0
  })
  const passes = context.mock.method(Map.prototype, 'values')
  for (let datagram = 0; datagram < FLOOD_DATAGRAMS; datagram += 1) {
    const facts = Array.from({ length: FLOOD_FACTS }, (_, index) => [`${datagram}-${index}`, 0, TTL_MS + datagram * FLOOD_FACTS + index, 1])
    exchange.receive(Buffer.from(JSON.stringify(['f', facts])), '127.0.0.2')
  }
  assert.ok(passes.mock.callCount() <= PASSES_PER_DATAGRAM * FLOOD_DATAGRAMS, `${passes.mock.callCount()} passes`)
  assert.equal(exchange.count(), createFactExchange.MAXIMUM_FACTS)
  exchange.receive(Buffer.from('["q",1,0,0]'), '127.0.0.2')
  assert.ok(sent[0]?.includes(`"${FLOOD_DATAGRAMS - 1}-${FLOOD_FACTS - 1}"`))
})
