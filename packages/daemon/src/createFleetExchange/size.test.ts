/**
 * Guards against traffic between regions that grows with the number of daemons. If every daemon copies a configuration over the shared link of its region, the
 * link stays full, and weights and heartbeats queue behind: 13 copies of 0.6 MB take 3 s over 20 Mbit/s. A timeout of 1.2 s for the whole transfer,
 * instead of for the time without a byte, then aborts all of them, the transfers start over, and no gateway of that region becomes ready. And if copies are compared by the
 * store's revision counter instead of by their content, every daemon that restarts seems ahead of the others, which then copy what did not change. With both
 * faults 26 gateways stay behind, and 93 MB (a change) or 153 MB (a restart of all) cross between regions in 12 s for a configuration of 0.5 MB.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as spread from '@switchridge/spread'
import * as createFleetParts from '../createFleetParts/index.js'
import * as simulatedFleet from '../_lib/simulatedFleet.js'

/** A medium-sized site: three halls in three regions. */
const SITE_SHAPE = { halls: 3, gatewaysPerHall: 13, agentsPerHall: 15 }
/** 20 Mbit/s between two regions, in bytes per millisecond. */
const REGION_BYTES_PER_MS = 2500
const SMALL_ROUTES = 250
const MORE_ROUTES = 1822
const SEED = 7
const MAXIMUM_MS = 12_000
/** The tightest bound required for a change to be in force everywhere. */
const IN_FORCE_MS = 2000
/** Complete responses of the store, 0.59 MB each, that may cross into a hall when all daemons restart: to its watchers, and to gateways that get no copy in time. */
const LISTS_INTO_HALL = 5
const LIST_BYTES = 600_000
/** Other traffic between regions in the same time: heartbeats, changes of engines, copies. */
const OTHER_RESTART_BYTES = 400_000

function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    return state / 2_147_483_648
  }
}

interface FleetShape {
  readonly halls: number
  readonly gatewaysPerHall: number
  readonly agentsPerHall: number
}

function openFleet (context: nodeTest.TestContext, shape: FleetShape = SITE_SHAPE): simulatedFleet.SimulatedFleet {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
  const fleet = simulatedFleet.createSimulatedFleet({ ...shape, regionBytesPerMs: REGION_BYTES_PER_MS }, context.mock.timers, createRandom(SEED))
  context.after(() => { for (const daemon of fleet.daemons) daemon.stop() })
  return fleet
}

async function startDaemons (fleet: simulatedFleet.SimulatedFleet): Promise<void> {
  for (const [index, daemon] of fleet.daemons.entries()) {
    await daemon.start()
    if (index % 2 === 1) await fleet.advance(3)
  }
}

function listBehind (fleet: simulatedFleet.SimulatedFleet, version: number): string[] {
  return fleet.gateways.filter((gateway) => gateway.parts().routes()?.configuration.version !== version).map((gateway) => gateway.host)
}

/** Agents without any configuration. */
function listUnconfigured (fleet: simulatedFleet.SimulatedFleet): string[] {
  return fleet.daemons.filter(({ role, parts }) => role === 'agent' && parts().routes() === null).map(({ host }) => host)
}

/** Simulates engines that come and go: one changed entry of about 300 bytes every `gapMs`. Returns a function that stops it. */
function churnEngines (fleet: simulatedFleet.SimulatedFleet, gapMs: number): () => void {
  let count = 0
  const timer = setInterval(() => {
    count += 1
    fleet.put('servers', `i-${count % 60}`, { service: 'llm', address: `10.0.1.${count % 60}:8585`, zone: 'hall-0', version: 'v1', slots: 12, state: 'ready', coldRemainingMs: 0, sequence: count, note: 'x'.repeat(150) })
  }, gapMs)
  return () => { clearInterval(timer) }
}

nodeTest.test('a change that adds 1,500 routes is in force at every gateway in time while engines come and go', async (context) => {
  const fleet = openFleet(context)
  fleet.configure(SMALL_ROUTES)
  await startDaemons(fleet)
  await fleet.advance(3000)
  const stopChurn = churnEngines(fleet, 200)
  await fleet.advance(2000)
  const before = fleet.network.counts.interRegionBytes
  const startedAt = Date.now()
  const version = fleet.configure(MORE_ROUTES)
  const tookMs = await fleet.advanceUntil(() => listBehind(fleet, version).length === 0, MAXIMUM_MS)
  stopChurn()
  const crossed = fleet.network.counts.interRegionBytes - before
  context.diagnostic(`${tookMs} ms; ${Math.round(crossed / 1000)} kB between regions in ${Date.now() - startedAt} ms; behind: ${listBehind(fleet, version).length}`)
  assert.ok(tookMs <= IN_FORCE_MS, `in force after ${tookMs} ms`)
  assert.ok(crossed <= 4_000_000, `${crossed} bytes between regions`)
})

nodeTest.test('after a restart of all daemons none copies what did not change', async (context) => {
  const fleet = openFleet(context)
  const version = fleet.configure(MORE_ROUTES)
  await startDaemons(fleet)
  await fleet.advance(4000)
  for (const daemon of fleet.daemons) daemon.stop()
  await fleet.advance(1000)
  const stopChurn = churnEngines(fleet, 50)
  const before = fleet.daemons.map((daemon) => fleet.network.getReceivedBytes(daemon.host))
  const regionBefore = fleet.network.counts.interRegionBytes
  await startDaemons(fleet)
  const tookMs = await fleet.advanceUntil(() => listBehind(fleet, version).length + listUnconfigured(fleet).length === 0, MAXIMUM_MS)
  await fleet.advance(6000)
  stopChurn()
  const received = fleet.daemons.map((daemon, index) => fleet.network.getReceivedBytes(daemon.host) - (before[index] as number))
  const agents = received.filter((_, index) => fleet.daemons[index]?.role === 'agent')
  const crossed = fleet.network.counts.interRegionBytes - regionBefore
  context.diagnostic(`${tookMs} ms; agents took in ${Math.round(Math.max(...agents) / 1000)} kB at most, daemons ${Math.round(Math.max(...received) / 1000)} kB; ${Math.round(crossed / 1000)} kB between regions; behind: ${listBehind(fleet, version).length}; agents without one: ${listUnconfigured(fleet).length}`)
  assert.ok(tookMs <= IN_FORCE_MS, `known after ${tookMs} ms`)
  assert.ok(Math.max(...agents) <= 600_000, `an agent took in ${Math.max(...agents)} bytes`)
  assert.ok(crossed <= LISTS_INTO_HALL * (SITE_SHAPE.halls - 1) * LIST_BYTES + OTHER_RESTART_BYTES, `${crossed} bytes between regions`)
})

/** Traffic of an idle fleet, and of one change of its configuration. */
interface SizeFigures {
  readonly daemons: number
  readonly halls: number
  readonly gatewaysPerHall: number
  readonly routes: number
  /** Bytes per second that the busiest daemon receives in an idle fleet. */
  readonly idleIn: number
  /** Bytes per second between all regions of an idle fleet. */
  readonly idleRegions: number
  /** Bytes that one change sends into each hall other than the store's, in addition to the idle traffic. */
  readonly changeIntoHall: number
  readonly inForceMs: number
}

const IDLE_MS = 3000

async function measure (context: nodeTest.TestContext, shape: FleetShape, routes: number): Promise<SizeFigures> {
  const fleet = openFleet(context, shape)
  fleet.configure(SMALL_ROUTES)
  await startDaemons(fleet)
  await fleet.advance(5000)
  const before = fleet.daemons.map(({ host }) => fleet.network.getReceivedBytes(host))
  const regionsBefore = fleet.network.counts.interRegionBytes
  await fleet.advance(IDLE_MS)
  const idleIn = Math.max(...fleet.daemons.map(({ host }, index) => fleet.network.getReceivedBytes(host) - (before[index] as number))) * 1000 / IDLE_MS
  const idleRegions = (fleet.network.counts.interRegionBytes - regionsBefore) * 1000 / IDLE_MS
  const changeFrom = fleet.network.counts.interRegionBytes
  const version = fleet.configure(routes)
  const inForceMs = await fleet.advanceUntil(() => listBehind(fleet, version).length === 0, MAXIMUM_MS)
  await fleet.advance(1000)
  const crossed = fleet.network.counts.interRegionBytes - changeFrom - idleRegions * (Math.min(inForceMs, MAXIMUM_MS) + 1000) / 1000
  for (const daemon of fleet.daemons) daemon.stop()
  context.mock.timers.reset()
  return {
    daemons: fleet.daemons.length,
    halls: shape.halls,
    gatewaysPerHall: shape.gatewaysPerHall,
    routes,
    idleIn: Math.round(idleIn),
    idleRegions: Math.round(idleRegions),
    changeIntoHall: Math.round(crossed / (shape.halls - 1)),
    inForceMs
  }
}

const SMALL_SHAPE = { halls: 3, gatewaysPerHall: 3, agentsPerHall: 3 }
const LARGE_SHAPE = { halls: 5, gatewaysPerHall: 20, agentsPerHall: 17 }
/** Approximate size of a route in the store's responses. */
const ROUTE_BYTES = 330
/** The same in a compressed copy between daemons. */
const COMPRESSED_ROUTE_BYTES = 102
/** In a hall of up to three gateways all of them read a change from the store, in a larger one only {@link WATCHERS}. */
const SMALL_HALL_GATEWAYS = 3
const WATCHERS = 2
/** Compressed copies that may cross into a hall in addition: each watcher requests one from another hall if the store's response takes long, and one of them does so twice. */
const COPIES_INTO_HALL = 3
/** The same in a small hall, where one of the three gateways does so. */
const COPIES_INTO_SMALL_HALL = 1
/** Announcements of the change between daemons. */
const ANNOUNCEMENT_BYTES = 20_000

function computeBoundIntoHall (routes: number, gatewaysPerHall: number): number {
  const isSmall = gatewaysPerHall <= SMALL_HALL_GATEWAYS
  const watchers = isSmall ? gatewaysPerHall : WATCHERS
  const copies = isSmall ? COPIES_INTO_SMALL_HALL : COPIES_INTO_HALL
  return (watchers * ROUTE_BYTES + copies * COMPRESSED_ROUTE_BYTES) * routes + ANNOUNCEMENT_BYTES
}

nodeTest.test('the traffic of a change into a hall grows with the number of routes, not with that of daemons', async (context) => {
  const figures: SizeFigures[] = []
  for (const [shape, routes] of [[SMALL_SHAPE, MORE_ROUTES], [SITE_SHAPE, SMALL_ROUTES], [SITE_SHAPE, MORE_ROUTES], [SITE_SHAPE, 2 * MORE_ROUTES], [LARGE_SHAPE, MORE_ROUTES]] as const) {
    figures.push(await measure(context, shape, routes))
    context.diagnostic(JSON.stringify(figures[figures.length - 1]))
  }
  for (const { routes, changeIntoHall, daemons, inForceMs, gatewaysPerHall } of figures) {
    assert.ok(inForceMs <= IN_FORCE_MS, `${routes} routes in force at ${daemons} daemons after ${inForceMs} ms`)
    assert.ok(changeIntoHall <= computeBoundIntoHall(routes, gatewaysPerHall), `${changeIntoHall} bytes into a hall for ${routes} routes at ${daemons} daemons`)
  }
})

/** Ranks the gateways of a hall; the first ones watch the store for the others. */
function rankHall (fleet: simulatedFleet.SimulatedFleet, zone: string): string[] {
  const members = fleet.gateways.map(({ parts }) => createFleetParts.describeSelf(parts(), { isLeaving: false, isStoreLost: false }))
  return spread.rankGateways(members, zone).map(({ host }) => host)
}

/** Cuts off the first gateways of a hall and measures the milliseconds until a change of one route is in force at all others. */
async function measureWithGatewaysCut (context: nodeTest.TestContext, zone: string, failing: number): Promise<number> {
  const fleet = openFleet(context)
  fleet.configure(SMALL_ROUTES)
  await startDaemons(fleet)
  await fleet.advance(5000)
  const cutHosts = rankHall(fleet, zone).slice(0, failing)
  for (const host of cutHosts) fleet.network.disconnectHost(host)
  const version = fleet.configure(SMALL_ROUTES + 1)
  const isInForce = (): boolean => listBehind(fleet, version).every((host) => cutHosts.includes(host))
  const tookMs = await fleet.advanceUntil(isInForce, MAXIMUM_MS)
  context.diagnostic(`${zone} without its first ${cutHosts.length} gateways: ${tookMs} ms`)
  return tookMs
}

nodeTest.test('a change is in force in time at all other gateways when both watchers of a hall are cut off right before it', async (context) => {
  const tookMs = await measureWithGatewaysCut(context, 'hall-1', spread.WATCHERS_PER_HALL)
  assert.ok(tookMs <= IN_FORCE_MS, `in force after ${tookMs} ms`)
})

nodeTest.test('a change is in force in time at all other gateways when the first four of a hall are cut off right before it', async (context) => {
  const tookMs = await measureWithGatewaysCut(context, 'hall-1', 4)
  assert.ok(tookMs <= IN_FORCE_MS, `in force after ${tookMs} ms`)
})
