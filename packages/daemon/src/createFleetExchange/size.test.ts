/**
 * What users saw: a gateway answered 404 on a route that had been added more than four seconds before, and after a return of
 * all machines hardly a call was served for over 15 s, although processors were idle and the store answered.
 * Order of events: a change with 1,572 more routes is accepted; every gateway of each region reads it from the store over
 * the one link into its region, every agent takes it whole from whoever spoke first; transfers that are not done in time begin
 * anew; those links stay full, and weights and heartbeats wait behind. After a return each daemon lists the store
 * at another revision, so that each later one seems ahead of all others, and everybody copies from it what did not change.
 * Cause: what one daemon sends for another grew with the fleet: copies crossed a shared link once for each daemon that wanted them,
 * time-outs counted the length of a transfer instead of its silence, and a copy's revision was the store's counter instead of a
 * mark of its content. 13 copies of 0.6 MB take 3 s over a link of 20 Mbit/s; all of them cut after 1.2 s, nobody ever has one.
 * Evidence: on the recorded day only the hall beside the store had a configuration after the return, none of 26 gateways elsewhere ever
 * became ready for long, and their logs repeat that no whole answer came within 1.2 s. On the code of that day this test ends the same:
 * 26 gateways behind for good, 93 MB (a change) and 153 MB (a return) between regions in 12 s for a configuration of 0.5 MB.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as spread from '@switchridge/spread'
import * as createFleetParts from '../createFleetParts/index.js'
import * as simulatedFleet from '../_lib/simulatedFleet.js'

/** The users' second site: three halls in three regions. */
const SIZE = { halls: 3, gatewaysPerHall: 13, agentsPerHall: 15 }
/** 20 Mbit/s between two regions, in bytes a millisecond. */
const REGION_BYTES_PER_MS = 2500
const SMALL_ROUTES = 250
const MORE_ROUTES = 1822
const SEED = 7
const MAXIMUM_MS = 12_000
/** The users' tightest bound for a change to be in force everywhere. */
const IN_FORCE_MS = 2000
/** Whole answers of the store, 0.59 MB each, that may cross into a hall when all return: of its watchers, and of those that get no copy in time. */
const LISTS_INTO_HALL = 5
const LIST_BYTES = 600_000
/** What else crosses in the same time: heartbeats, changes of engines, copies. */
const RETURN_BYTES = 400_000

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

function open (context: nodeTest.TestContext, shape: FleetShape = SIZE): simulatedFleet.SimulatedFleet {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
  const fleet = simulatedFleet.createSimulatedFleet({ ...shape, regionBytesPerMs: REGION_BYTES_PER_MS }, context.mock.timers, createRandom(SEED))
  context.after(() => { for (const daemon of fleet.daemons) daemon.stop() })
  return fleet
}

async function startAll (fleet: simulatedFleet.SimulatedFleet): Promise<void> {
  for (const [place, daemon] of fleet.daemons.entries()) {
    await daemon.start()
    if (place % 2 === 1) await fleet.pass(3)
  }
}

function listBehind (fleet: simulatedFleet.SimulatedFleet, version: number): string[] {
  return fleet.gateways.filter((gateway) => gateway.parts().routes()?.configuration.version !== version).map((gateway) => gateway.host)
}

/** Agents without any configuration. */
function listBare (fleet: simulatedFleet.SimulatedFleet): string[] {
  return fleet.daemons.filter(({ role, parts }) => role === 'agent' && parts().routes() === null).map(({ host }) => host)
}

/** Engines that come and go, each entry of some 300 bytes, one change every `gapMs`. */
function churn (fleet: simulatedFleet.SimulatedFleet, gapMs: number): () => void {
  let count = 0
  const timer = setInterval(() => {
    count += 1
    fleet.put('servers', `i-${count % 60}`, { service: 'llm', address: `10.0.1.${count % 60}:8585`, zone: 'hall-0', version: 'v1', slots: 12, state: 'ready', coldRemainingMs: 0, sequence: count, note: 'x'.repeat(150) })
  }, gapMs)
  return () => { clearInterval(timer) }
}

nodeTest.test('a change with 1,500 more routes is in force at every gateway in time while engines come and go', async (context) => {
  const fleet = open(context)
  fleet.configure(SMALL_ROUTES)
  await startAll(fleet)
  await fleet.pass(3000)
  const stopChurn = churn(fleet, 200)
  await fleet.pass(2000)
  const before = fleet.network.counts.regionBytes
  const startedAt = Date.now()
  const version = fleet.configure(MORE_ROUTES)
  const tookMs = await fleet.passUntil(() => listBehind(fleet, version).length === 0, MAXIMUM_MS)
  stopChurn()
  const crossed = fleet.network.counts.regionBytes - before
  context.diagnostic(`${tookMs} ms; ${Math.round(crossed / 1000)} kB between regions in ${Date.now() - startedAt} ms; behind: ${listBehind(fleet, version).length}`)
  assert.ok(tookMs <= IN_FORCE_MS, `in force after ${tookMs} ms`)
  assert.ok(crossed <= 4_000_000, `${crossed} bytes between regions`)
})

nodeTest.test('after a return of all daemons nobody copies what did not change', async (context) => {
  const fleet = open(context)
  const version = fleet.configure(MORE_ROUTES)
  await startAll(fleet)
  await fleet.pass(4000)
  for (const daemon of fleet.daemons) daemon.stop()
  await fleet.pass(1000)
  const stopChurn = churn(fleet, 50)
  const before = fleet.daemons.map((daemon) => fleet.network.received(daemon.host))
  const regionBefore = fleet.network.counts.regionBytes
  await startAll(fleet)
  const tookMs = await fleet.passUntil(() => listBehind(fleet, version).length + listBare(fleet).length === 0, MAXIMUM_MS)
  await fleet.pass(6000)
  stopChurn()
  const received = fleet.daemons.map((daemon, place) => fleet.network.received(daemon.host) - (before[place] as number))
  const agents = received.filter((_, place) => fleet.daemons[place]?.role === 'agent')
  const crossed = fleet.network.counts.regionBytes - regionBefore
  context.diagnostic(`${tookMs} ms; agents took in ${Math.round(Math.max(...agents) / 1000)} kB at most, daemons ${Math.round(Math.max(...received) / 1000)} kB; ${Math.round(crossed / 1000)} kB between regions; behind: ${listBehind(fleet, version).length}; agents without one: ${listBare(fleet).length}`)
  assert.ok(tookMs <= IN_FORCE_MS, `known after ${tookMs} ms`)
  assert.ok(Math.max(...agents) <= 600_000, `an agent took in ${Math.max(...agents)} bytes`)
  assert.ok(crossed <= LISTS_INTO_HALL * (SIZE.halls - 1) * LIST_BYTES + RETURN_BYTES, `${crossed} bytes between regions`)
})

/** Figures of a fleet that is idle, and of one change. */
interface SizeFigures {
  readonly daemons: number
  readonly halls: number
  readonly gatewaysPerHall: number
  readonly routes: number
  /** Bytes a second that the busiest daemon takes in while nothing happens, and all regions exchange. */
  readonly idleIn: number
  readonly idleRegions: number
  /** Bytes that one change sends into each hall beside the store's, beyond the idle traffic. */
  readonly changeIntoHall: number
  readonly inForceMs: number
}

const IDLE_MS = 3000

async function measure (context: nodeTest.TestContext, shape: FleetShape, routes: number): Promise<SizeFigures> {
  const fleet = open(context, shape)
  fleet.configure(SMALL_ROUTES)
  await startAll(fleet)
  await fleet.pass(5000)
  const before = fleet.daemons.map(({ host }) => fleet.network.received(host))
  const regionsBefore = fleet.network.counts.regionBytes
  await fleet.pass(IDLE_MS)
  const idleIn = Math.max(...fleet.daemons.map(({ host }, place) => fleet.network.received(host) - (before[place] as number))) * 1000 / IDLE_MS
  const idleRegions = (fleet.network.counts.regionBytes - regionsBefore) * 1000 / IDLE_MS
  const changeFrom = fleet.network.counts.regionBytes
  const version = fleet.configure(routes)
  const inForceMs = await fleet.passUntil(() => listBehind(fleet, version).length === 0, MAXIMUM_MS)
  await fleet.pass(1000)
  const crossed = fleet.network.counts.regionBytes - changeFrom - idleRegions * (Math.min(inForceMs, MAXIMUM_MS) + 1000) / 1000
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

const SMALL = { halls: 3, gatewaysPerHall: 3, agentsPerHall: 3 }
const LARGE = { halls: 5, gatewaysPerHall: 20, agentsPerHall: 17 }
/** A configuration takes about so many bytes a route in the store, and compressed between daemons. */
const ROUTE_BYTES = 330
const COMPRESSED_ROUTE_BYTES = 102
/** In a hall of up to three gateways all read a change from the store, in a larger one two. */
const SMALL_HALL_GATEWAYS = 3
const WATCHERS = 2
/** Compressed copies that may cross into a hall beside those: each watcher asks another hall if its own answer takes long, and one does so again; of three, one. */
const COPIES_INTO_HALL = 3
const COPIES_INTO_SMALL_HALL = 1
/** What is told of the change. */
const TOLD_BYTES = 20_000

function boundIntoHall (routes: number, gatewaysPerHall: number): number {
  const isSmall = gatewaysPerHall <= SMALL_HALL_GATEWAYS
  const watchers = isSmall ? gatewaysPerHall : WATCHERS
  const copies = isSmall ? COPIES_INTO_SMALL_HALL : COPIES_INTO_HALL
  return (watchers * ROUTE_BYTES + copies * COMPRESSED_ROUTE_BYTES) * routes + TOLD_BYTES
}

nodeTest.test('what a change sends into a hall grows with its routes, not with the daemons of the hall', async (context) => {
  const figures: SizeFigures[] = []
  for (const [shape, routes] of [[SMALL, MORE_ROUTES], [SIZE, SMALL_ROUTES], [SIZE, MORE_ROUTES], [SIZE, 2 * MORE_ROUTES], [LARGE, MORE_ROUTES]] as const) {
    figures.push(await measure(context, shape, routes))
    context.diagnostic(JSON.stringify(figures[figures.length - 1]))
  }
  for (const { routes, changeIntoHall, daemons, inForceMs, gatewaysPerHall } of figures) {
    assert.ok(inForceMs <= IN_FORCE_MS, `${routes} routes in force at ${daemons} daemons after ${inForceMs} ms`)
    assert.ok(changeIntoHall <= boundIntoHall(routes, gatewaysPerHall), `${changeIntoHall} bytes into a hall for ${routes} routes at ${daemons} daemons`)
  }
})

/** Gateways of a hall, those first that watch the store for the others. */
function rankHall (fleet: simulatedFleet.SimulatedFleet, zone: string): string[] {
  const members = fleet.gateways.map(({ parts }) => createFleetParts.describeSelf(parts(), { isLeaving: false, isStoreLost: false }))
  return spread.rankGateways(members, zone).map(({ host }) => host)
}

/** Milliseconds until a change of one route is in force at all gateways but some of one hall that are cut off right before it. */
async function measureWithout (context: nodeTest.TestContext, zone: string, failing: number): Promise<number> {
  const fleet = open(context)
  fleet.configure(SMALL_ROUTES)
  await startAll(fleet)
  await fleet.pass(5000)
  const gone = rankHall(fleet, zone).slice(0, failing)
  for (const host of gone) fleet.network.cut(host)
  const version = fleet.configure(SMALL_ROUTES + 1)
  const isInForce = (): boolean => listBehind(fleet, version).every((host) => gone.includes(host))
  const tookMs = await fleet.passUntil(isInForce, MAXIMUM_MS)
  context.diagnostic(`${zone} without its first ${gone.length} gateways: ${tookMs} ms`)
  return tookMs
}

nodeTest.test('a change is in force in time at all other gateways when both watchers of a hall are cut off right before it', async (context) => {
  const tookMs = await measureWithout(context, 'hall-1', spread.WATCHERS_PER_HALL)
  assert.ok(tookMs <= IN_FORCE_MS, `in force after ${tookMs} ms`)
})

nodeTest.test('a change is in force in time at all other gateways when the first four of a hall are cut off right before it', async (context) => {
  const tookMs = await measureWithout(context, 'hall-1', 4)
  assert.ok(tookMs <= IN_FORCE_MS, `in force after ${tookMs} ms`)
})
