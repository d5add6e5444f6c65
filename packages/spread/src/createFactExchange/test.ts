import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as createFactExchange from './index.js'

interface Shape {
  readonly halls: number
  readonly gatewaysPerHall: number
  /** Part of the datagrams that get lost. */
  readonly lostPart: number
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
  readonly timeline: standins.Timeline
  /** Halls whose network to others is cut. */
  readonly cut: Set<string>
  /** Hosts that are not reached and send nothing. */
  readonly gone: Set<string>
  /** Lets time pass until each gateway that is there knows a fact; returns the milliseconds, or Infinity. */
  readonly untilKnown: (content: unknown, maximumMs: number) => number
  readonly pass: (milliseconds: number) => void
  /** Starts the gateway anew, without what it knew. */
  readonly restart: (gateway: Gateway) => void
}

const TICK_MS = 100
const WAY_MS = { near: 2, far: 5 }
const KEPT_MS = 600_000
/** The users' tightest bound for a daemon to have caught up after trouble. */
const CONTACT_MS = 3000

function open ({ halls, gatewaysPerHall, lostPart }: Shape, seed = 7): Fleet {
  const timeline = standins.createTimeline()
  const random = standins.createRandom(seed)
  const cut = new Set<string>()
  const gone = new Set<string>()
  const { now } = timeline
  const gateways: Gateway[] = []

  function reaches (from: Gateway, to: Gateway): boolean {
    if (gone.has(from.host) || gone.has(to.host)) return false
    return from.zone === to.zone || (!cut.has(from.zone) && !cut.has(to.zone))
  }

  function create (self: Omit<Gateway, 'exchange'>): createFactExchange.FactExchange {
    return createFactExchange.createFactExchange({
      zone: self.zone,
      peers: () => gateways.filter((other) => other.host !== self.host && reaches(self as Gateway, other)),
      send: (host, bytes) => {
        const to = gateways.find((other) => other.host === host)
        if (to === undefined || random() < lostPart) return
        timeline.at(now() + (to.zone === self.zone ? WAY_MS.near : WAY_MS.far), () => {
          if (!reaches(self as Gateway, to)) return
          to.datagramsIn += 1
          to.bytesIn += bytes.length
          to.exchange.receive(bytes, self.host)
        })
      },
      onFact: (content) => { self.known.set(content, now()) },
      onDrop: () => { assert.fail('a datagram could not be read') },
      later: (delayMs, action) => { timeline.at(now() + delayMs, action) },
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

  function pass (milliseconds: number): void {
    timeline.run(now() + milliseconds)
  }

  return {
    gateways,
    timeline,
    cut,
    gone,
    pass,
    restart: (gateway) => {
      gateway.known.clear()
      gateway.exchange = create(gateway)
    },
    untilKnown: (content, maximumMs) => {
      for (let passed = 0; passed <= maximumMs; passed += 1) {
        if (gateways.every((each) => gone.has(each.host) || each.known.has(content))) return passed
        pass(1)
      }
      return Infinity
    }
  }
}

function tell (fleet: Fleet, index: number, content: unknown): void {
  const gateway = fleet.gateways[index] as Gateway
  gateway.known.set(content, fleet.timeline.now())
  gateway.exchange.tell(content, KEPT_MS)
}

const SMALL: Shape = { halls: 3, gatewaysPerHall: 3, lostPart: 0 }
const LARGE: Shape = { halls: 5, gatewaysPerHall: 20, lostPart: 0 }

for (const [name, shape, boundMs] of [['seven gateways and more', SMALL, 60], ['100 gateways in five halls', LARGE, 60]] as const) {
  nodeTest.test(`a fact reaches ${name} within moments`, (context) => {
    const fleet = open(shape)
    fleet.pass(12_000)
    tell(fleet, 0, 'fact')
    const tookMs = fleet.untilKnown('fact', CONTACT_MS)
    context.diagnostic(`${tookMs} ms`)
    assert.ok(tookMs <= boundMs, `known after ${tookMs} ms`)
  })
}

nodeTest.test('a fact reaches all in time though one datagram in twenty gets lost', (context) => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const fleet = open({ ...LARGE, lostPart: 0.05 }, seed)
    fleet.pass(12_000)
    tell(fleet, 0, 'fact')
    const tookMs = fleet.untilKnown('fact', 2 * CONTACT_MS)
    context.diagnostic(`seed ${seed}: ${tookMs} ms`)
    assert.ok(tookMs <= CONTACT_MS, `known after ${tookMs} ms`)
  }
})

nodeTest.test('facts that were made on both sides of a cut are known on the own side at once, and to all in time after it', (context) => {
  const fleet = open({ ...LARGE, lostPart: 0.01 })
  fleet.pass(12_000)
  fleet.cut.add('hall-1')
  tell(fleet, 0, 'outside')
  tell(fleet, 1, 'inside')
  fleet.pass(500)
  for (const gateway of fleet.gateways) assert.ok(gateway.known.has(gateway.zone === 'hall-1' ? 'inside' : 'outside'))
  fleet.pass(7000)
  fleet.cut.clear()
  const tookMs = Math.max(fleet.untilKnown('inside', CONTACT_MS), fleet.untilKnown('outside', CONTACT_MS))
  context.diagnostic(`${tookMs} ms after the cut`)
  assert.ok(tookMs <= CONTACT_MS, `known after ${tookMs} ms`)
})

nodeTest.test('a gateway that starts again hears of all facts in time, and its own new ones are taken for new', (context) => {
  const fleet = open(LARGE)
  for (let index = 0; index < 100; index += 1) tell(fleet, index, `fact-${index}`)
  fleet.pass(2000)
  const again = fleet.gateways[7] as Gateway
  fleet.restart(again)
  const tookMs = Math.max(...Array.from({ length: 100 }, (_, index) => fleet.untilKnown(`fact-${index}`, CONTACT_MS)))
  context.diagnostic(`${tookMs} ms`)
  assert.ok(tookMs <= CONTACT_MS, `known after ${tookMs} ms`)
  tell(fleet, 7, 'new')
  assert.ok(fleet.untilKnown('new', CONTACT_MS) <= CONTACT_MS)
})

nodeTest.test('an idle fleet says nothing, one that remembers facts next to nothing, and a burst stays within the bytes for control', (context) => {
  const fleet = open(LARGE)
  fleet.pass(12_000)
  const reset = (): void => { for (const gateway of fleet.gateways) Object.assign(gateway, { datagramsIn: 0, bytesIn: 0 }) }
  const busiest = (): number => Math.max(...fleet.gateways.map(({ bytesIn }) => bytesIn))
  reset()
  fleet.pass(10_000)
  assert.equal(busiest(), 0)
  const calls = Array.from({ length: 4 }, (_, index) => `fingerprin${index}`)
  reset()
  for (let end = 0; end < 20; end += 1) {
    for (let gateway = 0; gateway < 5; gateway += 1) tell(fleet, (end * 7 + gateway * 13) % 100, ['e', `i-${end}`, gateway, ...calls])
    fleet.pass(50)
  }
  context.diagnostic(`20 ends within a second, each told by 5 gateways: ${busiest()} bytes in at the busiest one`)
  assert.ok(busiest() <= 16_384)
  fleet.pass(3000)
  reset()
  fleet.pass(10_000)
  context.diagnostic(`after it: ${busiest() / 10} bytes a second`)
  assert.ok(busiest() / 10 <= 300)
})

nodeTest.test('facts are forgotten in time, and their number is bounded', () => {
  const fleet = open(SMALL)
  const [first] = fleet.gateways as [Gateway]
  first.exchange.tell('short', 1000)
  fleet.pass(3000)
  assert.ok(fleet.gateways.every(({ exchange }) => exchange.count() === 0))
  for (let index = 0; index < 2 * createFactExchange.MAXIMUM_FACTS; index += 1) first.exchange.tell(index, KEPT_MS)
  fleet.pass(30_000)
  assert.ok(fleet.gateways.every(({ exchange }) => exchange.count() <= createFactExchange.MAXIMUM_FACTS))
})

nodeTest.test('datagrams that are none are dropped, those of others are left alone', () => {
  let dropped = 0
  const heard: unknown[] = []
  const exchange = createFactExchange.createFactExchange({
    zone: 'hall', peers: () => [], send: () => {}, onFact: (content) => { heard.push(content) }, onDrop: () => { dropped += 1 }, later: () => {}, now: () => 0, random: () => 0.5
  })
  assert.equal(exchange.receive(Buffer.from('["h",1]'), '10.0.0.1'), false)
  for (const text of ['["f",', '["f",7]', '["q","x"]']) assert.equal(exchange.receive(Buffer.from(text), '10.0.0.1'), true)
  assert.equal(dropped, 3)
  exchange.receive(Buffer.from('["f",[null,["id"],["id",-1,5,"past"],["id",0,5000,"fact"],["id",0,5000,"twice"]]]'), '10.0.0.1')
  assert.deepEqual(heard, ['fact'])
})

/**
 * What was seen: an entry node that started again never heard of a call that all others refused, in half of all runs, and a test waited for it without end.
 * Cause: what stands for all facts was the exclusive or of a polynomial hash of their ids, and those of one gateway's first four facts, which follow each other, cancelled
 * out for 489 of 1,000 prefixes; so four facts looked like none.
 */
nodeTest.test('facts that follow each other never look like none to a gateway that starts again', () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const fleet = open({ halls: 1, gatewaysPerHall: 2, lostPart: 0 }, seed)
    for (const fact of ['one', 'two', 'three', 'four']) tell(fleet, 0, fact)
    fleet.pass(1000)
    fleet.restart(fleet.gateways[1] as Gateway)
    assert.ok(fleet.untilKnown('four', CONTACT_MS) <= CONTACT_MS, `seed ${seed}`)
  }
})
