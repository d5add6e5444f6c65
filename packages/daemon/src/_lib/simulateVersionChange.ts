/** Simulates a version change under calls, with real gateways' call paths and real stagers beside engines in memory, while links fail. */
import * as gateway from '@switchridge/gateway'
import * as staging from '@switchridge/staging'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as createFleetParts from '../createFleetParts/index.js'
import * as createVersionRecord from '../createVersionRecord/index.js'
import * as simulatedCallPath from './simulatedCallPath.js'
import * as simulatedSender from './simulatedSender.js'
import * as simulatedStager from './simulatedStager.js'
import * as simulatedVersionEngine from './simulatedVersionEngine.js'

/** What saturates the links that fail. */
export const FILLINGS = ['weights', 'configuration', 'regions', 'answers', 'foreign'] as const

/** The faults of one simulation; times in milliseconds from the naming of the version. */
export interface LinkFaults {
  /** Indexes of the agents whose links fail. */
  readonly agents: readonly number[]
  /** When the links fail: at a time, or when the connection for an attempt to one of these agents' engines stands at or after that time. */
  readonly trigger: 'time' | 'connection'
  readonly atMs: number
  /** Time from the connection to the failure. */
  readonly delayMs: number
  readonly bytesPerMs: number
  /** How long the failure lasts. */
  readonly durationMs: number
  readonly filling: typeof FILLINGS[number]
  /** Size in bytes of a transferred configuration, and the number of streams that it, or other traffic, consists of. */
  readonly configurationBytes: number
  readonly streams: number
  readonly fillAtMs: number
  /** Until when the origin is down. */
  readonly originUntilMs: number
}

/** The attempts of a simulation. */
export interface VersionChange {
  /** When the links failed; Infinity if they did not. */
  readonly failedAtMs: number
  /** All attempts; times are in milliseconds from the naming of the version. */
  readonly attempts: readonly simulatedSender.AttemptTrace[]
  /** Number of layers of the new version that each agent has as a whole shortly before the bound. */
  readonly wholeLayers: readonly number[]
  /** Version that each engine holds at the end. */
  readonly held: readonly number[]
}

export const BOUND_MS = 8000
/** Rates of 0.9, 0.3 and 0.1 Mbit/s in bytes per millisecond, and the one of a link that has stopped. */
const NARROW_RATES = [112.5, 37.5, 12.5]
const STOPPED_BYTES_PER_MS = 0.001
const AGENTS = 12
const REGIONS = ['a', 'b', 'c']
const REGION_PROBABILITY = 0.2
const NARROWED_MAXIMUM = 4
const STOP_PROBABILITY = 0.25
/** A connection makes the links fail in most simulations, in the time in which calls to idle engines are sent last. */
const CONNECTION_PROBABILITY = 0.7
const EARLIEST_LEAD_MS = 2500
const LATEST_LEAD_MS = 900
const DELAY_MAXIMUM_MS = 30
const FILL_LEAD_MS = 200
const LONGEST_OUTAGE_MS = 6500
/** When whole layers are counted. */
const LAYERS_LEAD_MS = 300
const LINK_BYTES_PER_MS = 640
const WIDE_BYTES_PER_MS = 125_000
const ORIGIN_BYTES_PER_MS = 912
const REGION_LINK_BYTES_PER_MS = 2500
const NEAR_MS = 1
const FAR_MS = 15
const ORIGIN = 'origin'
const WARM_UP_MS = 2500
const END_MS = 12_000
const TRAFFIC_END_MS = 9000
const CALLS_PER_SECOND = 60
const CALL_EVENTS_MAXIMUM = 36
const PROMPT_TOKENS_MEAN = 980
const PROMPT_TOKENS_MAXIMUM = 4000
const BODY_BYTES_PER_TOKEN = 1.5
const LEAVING_FRACTION = 0.05
const REPORT_INTERVALS_MS = { near: 350, far: 700 }
const REPORT_BYTES = 250
const LIST_INTERVAL_MS = 1200
const HEARING_MAXIMUM_MS = 20
const EVENT_BYTES = { usual: 200, large: 4000 }
const ID: staging.VersionId = { model: simulatedCallPath.MODEL, version: 2 }
const FIGURES: gateway.EngineFigures = {
  slots: 16, models: [simulatedCallPath.MODEL], layers: 12, chunks: 96, chunkBytes: 24_576, stepMs: 9.27, stepMsPerSequence: 0.0348, prefillTokensPerMs: 20.7, usualPromptTokens: 980, usualAnswerTokens: 92
}

/**
 * Chooses the faults of a simulation.
 *
 * @param random - Returns a random number from 0 to 1.
 * @returns The faults.
 */
export function chooseFaults (random: () => number): LinkFaults {
  const pick = (count: number): number => Math.min(count - 1, Math.floor(random() * count))
  const isRegion = random() < REGION_PROBABILITY
  const firstAgent = pick(AGENTS)
  const count = 1 + pick(NARROWED_MAXIMUM)
  const agents = isRegion
    ? Array.from({ length: AGENTS / REGIONS.length }, (_, at) => firstAgent % REGIONS.length + at * REGIONS.length)
    : Array.from({ length: count }, (_, at) => (firstAgent + at) % AGENTS)
  const trigger = random() < CONNECTION_PROBABILITY ? 'connection' : 'time'
  const atMs = Math.round(trigger === 'connection' ? BOUND_MS - EARLIEST_LEAD_MS + random() * (EARLIEST_LEAD_MS - LATEST_LEAD_MS) : random() * BOUND_MS)
  const isStopped = random() < STOP_PROBABILITY
  const stopMs = 500 + random() * 2500
  const rate = NARROW_RATES[pick(NARROW_RATES.length)] as number
  const filling = FILLINGS[pick(FILLINGS.length)] as typeof FILLINGS[number]
  const originKind = filling === 'weights' ? 0 : pick(3)
  const outageMs = Math.round(random() * LONGEST_OUTAGE_MS)
  return {
    agents,
    trigger,
    atMs,
    delayMs: random() < 0.5 ? 0 : random() * DELAY_MAXIMUM_MS,
    bytesPerMs: isStopped ? STOPPED_BYTES_PER_MS : rate,
    durationMs: isStopped ? Math.round(stopMs) : END_MS,
    filling,
    configurationBytes: 200_000 + Math.round(random() * 400_000),
    streams: 2 ** pick(4),
    fillAtMs: Math.round(atMs - FILL_LEAD_MS + random() * 2 * FILL_LEAD_MS),
    originUntilMs: [outageMs, 0, END_MS][originKind] as number
  }
}

/**
 * Simulates the change of a fleet to a second version.
 *
 * @param advance - Advances the mocked clock by a millisecond and runs what is due.
 * @param random - Returns a random number from 0 to 1.
 * @param faults - What happens to the links.
 * @returns The attempts of all calls.
 */
export async function simulateVersionChange (advance: () => Promise<void>, random: () => number, faults: LinkFaults): Promise<VersionChange> {
  const now = Date.now
  const namedAt = now() + WARM_UP_MS
  const names = Array.from({ length: AGENTS }, (_, index) => `n-${index}`)
  const regionOf = (index: number): string => REGIONS[index % REGIONS.length] as string
  const network = standins.createSimulatedNetwork({
    hosts: [
      ...REGIONS.flatMap((region) => ['gateway', 'other'].map((kind) => ({ host: `${kind}-${region}`, region, bytesPerMs: WIDE_BYTES_PER_MS }))),
      ...names.map((host, index) => ({ host, region: regionOf(index), bytesPerMs: LINK_BYTES_PER_MS })),
      { host: ORIGIN, region: ORIGIN, bytesPerMs: ORIGIN_BYTES_PER_MS }
    ],
    interRegionBytesPerMs: REGION_LINK_BYTES_PER_MS,
    intraRegionDelayMs: NEAR_MS,
    interRegionDelayMs: FAR_MS,
    now
  })
  const engines = new Map(names.map((name) => [name, simulatedVersionEngine.createSimulatedVersionEngine(FIGURES)]))
  const stagers = new Map<string, staging.Stager>()
  const suspectUntil = new Map<types.NodeId, number>()
  const attempts: simulatedSender.AttemptTrace[] = []
  const pieces: ReadonlySet<number>[] = []
  let wholeLayers: readonly number[] = []
  let failedAtMs = Infinity
  const stops: (() => void)[] = []
  const leavers: (() => void)[] = []
  const createVersions = (): createVersionRecord.VersionRecord => createVersionRecord.createVersionRecord({ boundMs: BOUND_MS, marginMs: createFleetParts.VERSION_MARGIN_MS, startupBoundMs: BOUND_MS, onBound: () => {}, now })
  const at = (timeMs: number, action: () => void): void => { setTimeout(action, Math.max(0, namedAt + timeMs - now())) }
  const repeat = (everyMs: number, action: () => void): void => {
    const timer = setInterval(action, everyMs)
    stops.push(() => { clearInterval(timer) })
  }
  const readModels = (name: string): ReadonlyMap<string, number> => {
    const held = engines.get(name)?.readState().held ?? 0
    return new Map(held === 0 ? [] : [[simulatedCallPath.MODEL, held]])
  }
  const listBackEnds = (): gateway.BackEnd[] => names.map((name, index) => ({ id: types.brandId(name), bornAt: null, service: simulatedCallPath.SERVICE, address: { host: name, port: 1 }, zone: regionOf(index), slots: FIGURES.slots, isDraining: false, models: readModels(name) }))
  let backEnds = listBackEnds()
  repeat(LIST_INTERVAL_MS, () => { backEnds = listBackEnds() })

  const gateways = REGIONS.map((zone) => {
    const host = `gateway-${zone}`
    const versions = createVersions()
    at(random() * HEARING_MAXIMUM_MS, () => { versions.note(ID, 0) })
    const sendAttempt = simulatedSender.createSimulatedSender({ network, host, engines, traces: attempts, eventBytes: faults.filling === 'answers' ? EVENT_BYTES.large : EVENT_BYTES.usual, onConnected: noteConnected, now })
    const path = simulatedCallPath.createSimulatedCallPath({ zone, gateways: REGIONS.length, figures: FIGURES, versions, backEnds: () => backEnds, sendAttempt, now, random })
    network.openDatagrams(host, (bytes, from) => {
      const { sentAt, status, models } = JSON.parse(bytes.toString()) as { readonly sentAt: number, readonly status: gateway.AgentStatus, readonly models: [string, number][] }
      const usualMs = regionOf(names.indexOf(from)) === zone ? NEAR_MS : FAR_MS
      path.tracker.noteReport(types.brandId(from), { ...status, report: { ...status.report, models: new Map(models) } }, sentAt, Math.max(0, now() - sentAt - usualMs))
    })
    return { zone, path }
  })

  function startAgent (name: string, index: number): void {
    const engine = engines.get(name) as simulatedVersionEngine.SimulatedVersionEngine
    const versions = createVersions()
    const socket = network.openDatagrams(name, () => {})
    const simulated = simulatedStager.createSimulatedStager({
      network,
      self: peers[index] as staging.StagingPeer,
      all: peers,
      stagers,
      suspectUntil,
      engine,
      model: ID.model,
      named: () => versions.named(ID.model),
      origin: ORIGIN,
      isOriginDown: () => now() < namedAt + faults.originUntilMs,
      linkBytesPerMs: LINK_BYTES_PER_MS,
      onPause: () => { for (const zone of REGIONS) report(zone) },
      now,
      random
    })

    function report (zone: string): void {
      const { running, waiting, isBusy, sequence } = engine.readState()
      const { isPaused, changesInMs } = simulated.status()
      const status = { isPaused, changesInMs, report: { bornAt: null, running, waiting, isBusy, sequence, pace: 1, limitPerSecond: null, isLeaving: false, models: null } }
      socket.send(`gateway-${zone}`, Buffer.from(JSON.stringify({ sentAt: now(), status, models: [...readModels(name)] }).padEnd(REPORT_BYTES)))
    }

    at(random() * HEARING_MAXIMUM_MS, () => {
      versions.note(ID, 0)
      simulated.stager.wake()
    })
    for (const zone of REGIONS) repeat(zone === regionOf(index) ? REPORT_INTERVALS_MS.near : REPORT_INTERVALS_MS.far, () => { report(zone) })
    stops.push(simulated.stager.stop)
    pieces[index] = simulated.pieces
  }

  const peers: staging.StagingPeer[] = names.map((name, index) => ({ node: types.brandId(name), zone: regionOf(index), address: { host: name, port: 1 } }))
  for (const [index, name] of names.entries()) setTimeout(() => { startAgent(name, index) }, 1 + Math.round(random() * REPORT_INTERVALS_MS.near))

  let calls = 0
  function sendCall (): void {
    const promptTokens = Math.min(PROMPT_TOKENS_MAXIMUM, Math.round(PROMPT_TOKENS_MEAN * -Math.log(1 - random() * 0.99)))
    const { path } = gateways[Math.min(REGIONS.length - 1, Math.floor(random() * REGIONS.length))] as typeof gateways[number]
    calls += 1
    const leave = path.call({ requestId: `c-${calls}`, promptTokens, events: 4 + Math.floor(random() * CALL_EVENTS_MAXIMUM), bodyBytes: Math.round(promptTokens * BODY_BYTES_PER_TOKEN), remainingMs: 2000 + random() * 4000 })
    leavers.push(leave)
    if (random() < LEAVING_FRACTION) setTimeout(leave, random() * 2000)
    if (now() < namedAt + TRAFFIC_END_MS) setTimeout(sendCall, -Math.log(1 - random() * 0.99) * types.MILLISECONDS_IN_SECOND / CALLS_PER_SECOND)
  }
  setTimeout(sendCall, 500)

  async function keepSending (from: string, to: string): Promise<void> {
    while (now() < namedAt + TRAFFIC_END_MS) await network.sendStream(from, to, 1_000_000)
  }

  /** Traffic that the agents don't request: a whole configuration, that of other regions, or of others on the same link. */
  function fillLink (name: string, region: string): void {
    const otherRegion = REGIONS.find((each) => each !== region) as string
    for (let stream = 0; stream < faults.streams; stream += 1) {
      if (faults.filling === 'configuration') void network.sendStream(`gateway-${region}`, name, Math.round(faults.configurationBytes / faults.streams))
      if (faults.filling === 'foreign') void keepSending(`other-${region}`, name)
      if (faults.filling === 'regions') void keepSending(`other-${otherRegion}`, stream % 2 === 0 ? name : `other-${region}`)
    }
  }

  function setRates (bytesPerMs: number): void {
    for (const index of faults.agents) network.setBandwidth(names[index] as string, bytesPerMs)
  }

  function failLinks (): void {
    if (failedAtMs !== Infinity) return
    failedAtMs = now() - namedAt
    setRates(faults.bytesPerMs)
    setTimeout(() => { setRates(LINK_BYTES_PER_MS) }, faults.durationMs)
  }

  /** Makes the links fail between the connection of an attempt to an engine with the old version and its request, or a moment later. */
  function noteConnected (name: string): void {
    const isAwaited = faults.trigger === 'connection' && now() - namedAt >= faults.atMs && faults.agents.includes(names.indexOf(name))
    if (!isAwaited || engines.get(name)?.readState().held === ID.version) return
    if (faults.delayMs === 0) failLinks()
    else setTimeout(failLinks, faults.delayMs)
  }

  if (faults.trigger === 'time') at(faults.atMs, failLinks)
  at(BOUND_MS - LAYERS_LEAD_MS, () => { wholeLayers = pieces.map(countWholeLayers) })
  at(faults.fillAtMs, () => { for (const index of faults.agents) fillLink(names[index] as string, regionOf(index)) })

  while (now() < namedAt + END_MS) await advance()
  for (const stop of stops) stop()
  for (const leave of leavers) leave()
  return { failedAtMs, wholeLayers, attempts: attempts.map((attempt) => relateTimes(attempt, namedAt)), held: names.map((name) => engines.get(name)?.readState().held ?? 0) }
}

function countWholeLayers (pieces: ReadonlySet<number>): number {
  const piecesPerLayer = FIGURES.chunks / FIGURES.layers
  const layers = Array.from({ length: FIGURES.layers }, (_, layer) => layer)
  return layers.filter((layer) => Array.from({ length: piecesPerLayer }, (_, at) => layer * piecesPerLayer + at).every((piece) => pieces.has(piece))).length
}

/** Converts the times of an attempt to milliseconds from the naming of the version. */
function relateTimes (attempt: simulatedSender.AttemptTrace, namedAt: number): simulatedSender.AttemptTrace {
  return Object.fromEntries(Object.entries(attempt).map(([key, value]) => [key, key.endsWith('At') ? value as number - namedAt : value])) as unknown as simulatedSender.AttemptTrace
}
