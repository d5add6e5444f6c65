import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as spread from '@switchridge/spread'
import * as types from '@switchridge/types'
import * as createWatchDuty from './index.js'

const ZONE = 'hall-a'
const GATEWAYS = 13
const SLOW_HEARTBEAT_MS = 1500
const LIVENESS_TIMEOUT_MS = 4800

interface Hall {
  readonly duties: Map<string, createWatchDuty.WatchDuty>
  readonly ranked: readonly string[]
  /** Nodes that cannot reach the store. */
  readonly withoutStore: Set<string>
  /** Nodes that send no heartbeats. */
  readonly silent: Set<string>
  readonly advance: (milliseconds: number) => void
  /** Nodes that watch the store. */
  readonly watching: (isInitialized?: boolean, scope?: createWatchDuty.WatchScope) => string[]
}

/** Creates the gateways of one hall: the first eight of the ranking hear the first four every 100 ms, and all others hear each other every 1.5 s. */
function createHall (count: number): Hall {
  let time = 0
  const withoutStore = new Set<string>()
  const silent = new Set<string>()
  const heardAt = new Map<string, number>()
  const slowHeardAt = new Map<string, number>()
  const nodes = Array.from({ length: count }, (_, index) => `gateway-${index}`)
  const describe = (node: string): spread.Heartbeat => ({
    node: types.brandId(node), role: 'gateway', zone: ZONE, host: node, isLeaving: false, isStoreLost: withoutStore.has(node), copies: {}, versions: [], suspects: [], engine: null
  })
  const ranked = spread.rankGateways(nodes.map(describe), ZONE).map(({ node }): string => node)
  const isFirst = (node: string): boolean => ranked.indexOf(node) < spread.RELAY_CANDIDATES
  const isListener = (node: string): boolean => ranked.indexOf(node) < spread.RELAY_LISTENERS
  const duties = new Map(nodes.map((node) => [node, createWatchDuty.createWatchDuty({
    node: types.brandId(node),
    role: 'gateway',
    zone: ZONE,
    peers: () => nodes.filter((other) => other !== node).map((other) => ({ heartbeat: describe(other), heardAt: (isListener(node) && isFirst(other) ? heardAt : slowHeardAt).get(other) ?? 0 })),
    isLive: (peer) => time - peer.heardAt <= LIVENESS_TIMEOUT_MS,
    isStoreLost: () => withoutStore.has(node),
    now: () => time
  })]))
  return {
    duties,
    ranked,
    withoutStore,
    silent,
    advance: (milliseconds) => {
      for (let passed = 0; passed < milliseconds; passed += 100) {
        time += 100
        for (const node of nodes) if (!silent.has(node)) heardAt.set(node, time)
        if (time % SLOW_HEARTBEAT_MS === 0) for (const [node, at] of heardAt) slowHeardAt.set(node, at)
      }
    },
    watching: (isInitialized = true, scope = 'each-hall') => nodes.filter((node) => !silent.has(node) && duties.get(node)?.mayWatch(isInitialized, !withoutStore.has(node), scope))
  }
}

nodeTest.test('two gateways of a large hall watch the store, and all of a small one', () => {
  const large = createHall(GATEWAYS)
  assert.deepEqual(large.watching(), [])
  large.advance(200)
  assert.deepEqual(large.watching().sort(), large.ranked.slice(0, 2).sort())
  const small = createHall(3)
  small.advance(200)
  assert.equal(small.watching().length, 3)
})

nodeTest.test('a watcher that freezes is replaced within 1.5 s', () => {
  const hall = createHall(GATEWAYS)
  hall.advance(2000)
  hall.silent.add(hall.ranked[0] as string)
  hall.advance(1400)
  assert.deepEqual(hall.watching().sort(), hall.ranked.slice(1, 3).sort())
})

nodeTest.test('when the first four freeze together, the next ones take over within 1.5 s', () => {
  const hall = createHall(GATEWAYS)
  hall.advance(2000)
  for (const node of hall.ranked.slice(0, spread.RELAY_CANDIDATES)) hall.silent.add(node)
  hall.advance(1400)
  assert.deepEqual(hall.watching().sort(), hall.ranked.slice(4, 6).sort())
})

nodeTest.test('gateways that hear others rarely do not replace them', () => {
  const hall = createHall(GATEWAYS)
  for (let step = 0; step < 60; step += 1) {
    hall.advance(100)
    if (step >= 2) assert.deepEqual(hall.watching().sort(), hall.ranked.slice(0, 2).sort())
  }
})

nodeTest.test('a watcher that has lost the store is replaced, and keeps trying', () => {
  const hall = createHall(GATEWAYS)
  hall.advance(2000)
  const [first = ''] = hall.ranked
  hall.withoutStore.add(first)
  hall.advance(100)
  assert.deepEqual(hall.watching().sort(), hall.ranked.slice(0, 3).sort())
  hall.withoutStore.delete(first)
  hall.advance(100)
  assert.deepEqual(hall.watching().sort(), hall.ranked.slice(0, 2).sort())
})

nodeTest.test('when the store answers no gateway of the hall, all keep trying', () => {
  const hall = createHall(GATEWAYS)
  for (const node of hall.ranked) hall.withoutStore.add(node)
  hall.advance(2000)
  assert.equal(hall.watching().length, GATEWAYS)
})

nodeTest.test('gateways that get no copy list the kind themselves, one by one', () => {
  const hall = createHall(GATEWAYS)
  hall.advance(400)
  assert.equal(hall.watching(false).length, 2)
  hall.advance(100)
  assert.equal(hall.watching(false).length, 3)
  hall.advance(1000)
  assert.equal(hall.watching(false).length, 4)
  hall.advance(1500)
  assert.equal(hall.watching(false).length, 5)
  hall.advance(1000)
  assert.equal(hall.watching(false).length, GATEWAYS)
})

nodeTest.test('the first gateways of the ranking request from another hall first', () => {
  const hall = createHall(GATEWAYS)
  hall.advance(200)
  const waits = hall.ranked.map((node) => hall.duties.get(node)?.otherHallGraceMs())
  assert.deepEqual(waits.slice(0, 7), [200, 400, 600, 800, 1000, 1200, 1200])
})

/** Creates the duties of several halls with one gateway each, which hear each other. */
function createHalls (count: number): { readonly watching: () => string[], readonly silence: (zone: string) => void, readonly advance: (milliseconds: number) => void } {
  let time = 0
  const zones = Array.from({ length: count }, (_, index) => `hall-${index}`)
  const heardAt = new Map(zones.map((zone) => [zone, 0]))
  const silent = new Set<string>()
  const describe = (zone: string): spread.Heartbeat => ({ node: types.brandId(zone), role: 'gateway', zone, host: zone, isLeaving: false, isStoreLost: false, copies: {}, versions: [], suspects: [], engine: null })
  const duties = zones.map((zone) => createWatchDuty.createWatchDuty({
    node: types.brandId(zone),
    role: 'gateway',
    zone,
    peers: () => zones.filter((other) => other !== zone).map((other) => ({ heartbeat: describe(other), heardAt: heardAt.get(other) ?? 0 })),
    isLive: (peer) => time - peer.heardAt <= LIVENESS_TIMEOUT_MS,
    isStoreLost: () => false,
    now: () => time
  }))
  return {
    watching: () => zones.filter((zone, at) => !silent.has(zone) && duties[at]?.mayWatch(true, true, 'few-halls')),
    silence: (zone) => { silent.add(zone) },
    advance: (milliseconds) => {
      time += milliseconds
      for (const zone of zones) if (!silent.has(zone)) heardAt.set(zone, time)
    }
  }
}

nodeTest.test('few halls watch a kind that changes often, and a hall that is silent for 3.5 s is replaced', () => {
  const halls = createHalls(5)
  halls.advance(1000)
  const first = halls.watching()
  assert.equal(first.length, createWatchDuty.WATCHING_HALLS)
  halls.silence(first[0] as string)
  halls.advance(3000)
  assert.deepEqual(halls.watching(), first.slice(1))
  halls.advance(1000)
  const next = halls.watching()
  assert.equal(next.length, createWatchDuty.WATCHING_HALLS)
  assert.ok(first.slice(1).every((zone) => next.includes(zone)))
})

nodeTest.test('a hall that hears no other hall watches itself', () => {
  const halls = createHalls(5)
  halls.advance(1000)
  const others = ['hall-0', 'hall-1', 'hall-2', 'hall-3', 'hall-4'].filter((zone) => !halls.watching().includes(zone))
  const [alone = ''] = others
  for (const zone of ['hall-0', 'hall-1', 'hall-2', 'hall-3', 'hall-4']) if (zone !== alone) halls.silence(zone)
  halls.advance(4000)
  assert.deepEqual(halls.watching(), [alone])
})
