/** Simulates in memory a fleet of agents that bring a version to all their engines, over slow links and on the runtime's timers. */
import * as crypto from 'node:crypto'
import * as membership from '@switchridge/membership'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as createManifestReader from '../createManifestReader/index.js'
import type * as createPieceFetcher from '../createPieceFetcher/index.js'
import type * as createPieceStore from '../createPieceStore/index.js'
import * as createPieceUplink from '../createPieceUplink/index.js'
import * as createStager from '../createStager/index.js'
import * as listReliableAgents from '../listReliableAgents/index.js'
import type * as staging from '../types/index.js'

/** What differs between simulations. */
export interface SimulationOptions {
  readonly agents: number
  /** Fraction of each agent's link that weights may use; event streams and heartbeats use the rest. */
  readonly linkFraction?: number
  /** Number of agents whose link has a tenth of the rate of the others. */
  readonly slowAgents?: number
  /** Number of agents that lose power at {@link POWER_LOSS_MS}. */
  readonly dying?: number
  /** Milliseconds over which the starts of the agents are spread; 0 when all have been running for long. */
  readonly startMs?: number
  /** Milliseconds after the naming during which agents receive nothing from other regions, as after a restart of the whole fleet. */
  readonly partitionMs?: number
  /** Concurrent connections that the origin accepts; it refuses more. */
  readonly originConnections?: number
  /** Rate of the origin's link in bytes per millisecond, {@link ORIGIN_BYTES_PER_MS} if absent. */
  readonly originBytesPerMs?: number
  /** Rate of each agent's link in bytes per millisecond, {@link LINK_BYTES_PER_MS} if absent. */
  readonly linkBytesPerMs?: number
  /** Rate between two regions in bytes per millisecond, {@link REGION_LINK_BYTES_PER_MS} if absent. */
  readonly regionBytesPerMs?: number
  /**
   * The origin is unavailable between these milliseconds after the naming. `refuse`, the default: it refuses new connections and completes open ones; `reset`: it
   * refuses new connections and resets open ones; `hang`: all connections hang, and those that were opened in this time are never answered.
   */
  readonly outage?: { readonly fromMs: number, readonly untilMs: number, readonly manner?: 'refuse' | 'reset' | 'hang' }
  /** Changes the names of the agents, and thereby their random decisions. */
  readonly seed?: number
  /** From this many milliseconds after the naming, negative for before it, the links of the first agents have this rate. */
  readonly narrowing?: { readonly agents: number, readonly atMs: number, readonly bytesPerMs: number }
  /** Milliseconds between calls over each narrowed link; {@link CALL_INTERVAL_MS} if absent. */
  readonly callIntervalMs?: number
  /** Whether the engines hold an older version, which serves until the deadline of the new one. */
  readonly areServing?: boolean
  /** Milliseconds from the naming to the deadline of the version, {@link DEADLINE_MS} if absent. */
  readonly deadlineMs?: number
  readonly maximumMs?: number
  /** Called with what happens to agents, to find out who waits for what. */
  readonly onEvent?: (event: SimulatedEvent) => void
}

/** An event of an agent. */
export interface SimulatedEvent {
  /** Milliseconds from the naming. */
  readonly atMs: number
  readonly agent: string
  readonly event: string
  readonly fields: Readonly<Record<string, string | number | boolean>>
}

/** A call that was sent over the link of an agent to its engine. */
export interface SimulatedCall {
  /** Milliseconds from the naming until it was sent. */
  readonly sentMs: number
  readonly tookMs: number
}

/** Measurements of a simulation; times in milliseconds from the naming of the version. */
export interface SimulationResult {
  /** When the first agent had the complete version, and when the first one of every region had it. */
  readonly firstMs: number
  readonly firstInRegionsMs: number
  readonly medianMs: number
  /** Infinity when an agent that neither lost power nor has a slow link did not get the complete version. */
  readonly lastMs: number
  /** The same for agents with slow links; 0 when there are none. */
  readonly slowLastMs: number
  readonly completeAgents: number
  /** Lower bound: the time that the bytes need over links that are never idle. */
  readonly transferBoundMs: number
  readonly originCopies: number
  /** Requests that reached the origin, including refused ones. */
  readonly originRequests: number
  /** Largest number of concurrent connections of the origin. */
  readonly originPeak: number
  /** Pieces that crossed into another region, per piece and region without a reader of it. */
  readonly crossings: number
  /** Number of suspicions, one for each pair of a suspected and a suspecting agent. */
  readonly suspicions: number
  /** Answers of peers that were aborted or came too late. */
  readonly abortedAnswers: number
  /** Calls to the engines of agents whose links are narrowed, until all agents have the complete version. */
  readonly calls: readonly SimulatedCall[]
  /** What agents stated while they fetched, each {@link ESTIMATE_INTERVAL_MS}. */
  readonly estimates: readonly StatedTime[]
}

/** An agent's estimate of the time until its engine serves; null where it was unknown. */
export interface StatedTime {
  readonly atMs: number
  readonly readyInMs: number | null
  /** Milliseconds until the agent had the complete version. */
  readonly wholeInMs: number
}

/** An answer between agents: its bytes are sent at once, or slice by slice. */
type SimulatedAnswer<Answer> =
  | { readonly value: Answer | null, readonly bytes: number }
  | { readonly value: Answer, readonly slices: AsyncIterable<Buffer> }

/** One simulated agent. */
interface SimulatedAgent {
  readonly self: staging.StagingPeer
  readonly stager: createStager.Stager
  readonly hasSlowLink: boolean
  readonly isDying: boolean
  completeMs: number
}

/** What an agent knows of another one. */
interface KnownPeer {
  readonly peer: staging.StagingPeer
  readonly suspects: readonly string[]
  readonly lastHeardAt: number
}

/** Link rates of an agent, between two regions, and of the origin. */
const LINK_BYTES_PER_MS = 640
const REGION_LINK_BYTES_PER_MS = 2500
const ORIGIN_BYTES_PER_MS = 912
/** Connection limit of a real origin, which refuses even fewer while its queue is long. */
const ORIGIN_CONNECTIONS = 48
/** An agent aborts a read from the origin without a first byte, or without a further one, after these times. Same values as in the client of the origin. */
const ORIGIN_FIRST_BYTE_MS = 2600
const ORIGIN_IDLE_MS = 1000
const REGIONS = ['a', 'b', 'c']
const PIECES = 96
const PIECE_BYTES = 24_576
const DIGEST_BYTES = 65
const REQUEST_BYTES = 400
const HEAD_BYTES = 200
const HEARTBEAT_BYTES = 300
/** Size of the request that a caller's gateway sends to an engine, and the usual interval between requests. */
const CALL_BYTES = 1400
const CALL_INTERVAL_MS = 200
/** Rate of a gateway's link, which is never saturated. */
const GATEWAY_BYTES_PER_MS = 125_000
const NEAR_MS = 1
const FAR_MS = 15
/** Same values as in the agent role. */
const UPLINK_SHARE = 0.9
const HEARTBEAT_MS = 1500
const ESTIMATE_INTERVAL_MS = 250
const SUSPECT_MS = 6000
const SILENCE_MS = 2500
const ZONES_EXPECTED_MS = 3000
export const DEADLINE_MS = 8000
export const POWER_LOSS_MS = 1500
const SLOW_LINK_FRACTION = 0.1
const MAXIMUM_MS = 20_000
const SCORES = 2 ** 32
const ORIGIN = 'origin'
const ID: staging.VersionId = { model: 'm', version: 2 }

const PIECE_BODIES = Array.from({ length: PIECES }, (_, piece) => Buffer.from(`piece ${piece}`))
const SENT_PIECE = Buffer.alloc(PIECE_BYTES)
const DIGESTS = PIECE_BODIES.map((body) => types.brandId<types.Digest>(crypto.createHash('sha256').update(body).digest('hex')))

/**
 * Simulates the distribution of a version from its naming until all agents have it completely.
 *
 * @param advance - Advances the mocked clock by a millisecond and runs what is due.
 * @param options - The fleet and its faults.
 * @returns The measurements.
 */
export async function simulateVersion (advance: () => Promise<void>, options: SimulationOptions): Promise<SimulationResult> {
  const { agents: count, linkFraction = 1, slowAgents = 0, dying = 0, startMs = 0, partitionMs = 0, originConnections = ORIGIN_CONNECTIONS, originBytesPerMs = ORIGIN_BYTES_PER_MS, linkBytesPerMs = LINK_BYTES_PER_MS, regionBytesPerMs = REGION_LINK_BYTES_PER_MS, deadlineMs = DEADLINE_MS, maximumMs = MAXIMUM_MS } = options
  const now = Date.now
  const startedAt = now()
  const prefix = options.seed === undefined ? 'n' : `n${options.seed}`
  const names = Array.from({ length: count }, (_, index) => `${prefix}-${index}`)
  const regionOf = (index: number): string => REGIONS[index % REGIONS.length] as string
  const hasSlowLink = (index: number): boolean => index < Math.max(slowAgents, options.narrowing?.agents ?? 0)
  const isDying = (index: number): boolean => index >= slowAgents && index < slowAgents + dying
  const rateOf = (index: number): number => linkBytesPerMs * (index < slowAgents ? SLOW_LINK_FRACTION : linkFraction)
  const gatewayOf = (region: string): string => `gateway-${region}`
  const network = standins.createSimulatedNetwork({
    hosts: [
      ...REGIONS.map((region) => ({ host: gatewayOf(region), region, bytesPerMs: GATEWAY_BYTES_PER_MS })),
      ...names.map((host, index) => ({ host, region: regionOf(index), bytesPerMs: rateOf(index) })),
      { host: ORIGIN, region: ORIGIN, bytesPerMs: originBytesPerMs }
    ],
    interRegionBytesPerMs: regionBytesPerMs,
    intraRegionDelayMs: NEAR_MS,
    interRegionDelayMs: FAR_MS,
    now
  })
  const running = new Map<string, SimulatedAgent>()
  const counts = { originRequests: 0, originPieceBytes: 0, originOpen: 0, originPeak: 0, crossings: 0, suspicions: 0, abortedAnswers: 0 }
  const stops: (() => void)[] = []
  const originRequests = new Set<AbortController>()

  function isOriginDown (): boolean {
    const sinceMs = now() - startedAt
    return options.outage !== undefined && sinceMs >= options.outage.fromMs && sinceMs < options.outage.untilMs
  }

  function report (agent: string, event: string, fields: SimulatedEvent['fields']): void {
    options.onEvent?.({ atMs: now() - startedAt, agent, event, fields })
  }

  /** Sends a request to the origin; returns whether all bytes of the answer arrived. */
  async function askOrigin (from: string, bytes: number, onBytes: (bytes: number) => void, firstByteTimeoutMs = ORIGIN_FIRST_BYTE_MS): Promise<boolean> {
    const aborting = new AbortController()
    const { signal } = aborting
    const abort = (): void => { aborting.abort() }
    let timer = setTimeout(abort, firstByteTimeoutMs)
    let isOpen = false
    originRequests.add(aborting)
    let isCarried = await network.sendStream(from, ORIGIN, REQUEST_BYTES, { signal })
    if (isCarried) {
      counts.originRequests += 1
      isOpen = counts.originOpen < originConnections && !isOriginDown()
      isCarried = false
    }
    if (isOpen) {
      counts.originOpen += 1
      counts.originPeak = Math.max(counts.originPeak, counts.originOpen)
      isCarried = await network.sendStream(ORIGIN, from, bytes, {
        signal,
        onBytes: (arrived) => {
          if (signal.aborted) return
          clearTimeout(timer)
          timer = setTimeout(abort, ORIGIN_IDLE_MS)
          onBytes(arrived)
        }
      })
      counts.originOpen -= 1
    }
    clearTimeout(timer)
    originRequests.delete(aborting)
    return isCarried
  }

  function createOrigin (from: string): staging.WeightOrigin {
    return {
      readManifest: async () => {
        const isRead = await askOrigin(from, PIECES * DIGEST_BYTES, () => {})
        report(from, 'origin-manifest', { isRead })
        return isRead ? types.succeed(DIGESTS) : types.fail(new types.UnavailableError('refused'))
      },
      readPiece: async (_id, piece, firstByteTimeoutMs) => {
        const sentAt = now()
        const isRead = await askOrigin(from, PIECE_BYTES, (bytes) => { counts.originPieceBytes += bytes }, firstByteTimeoutMs)
        report(from, 'origin-piece', { piece, isRead, tookMs: now() - sentAt })
        return isRead ? types.succeed(PIECE_BODIES[piece] as Buffer) : types.fail(new types.UnavailableError('refused'))
      }
    }
  }

  /** Sends a request to another agent and receives its answer, whose size the other agent determines; aborts it when no bytes arrive for a time. */
  async function ask<Answer> (from: string, to: string, answer: (other: SimulatedAgent) => Promise<SimulatedAnswer<Answer>>, onHead: () => void = () => {}, onBytes: (bytes: number) => void = () => {}): Promise<types.Outcome<Answer | null, types.UnavailableError>> {
    const aborting = new AbortController()
    const abort = (): void => { aborting.abort() }
    let timer = setTimeout(abort, SILENCE_MS)
    const restartTimeout = (): void => {
      clearTimeout(timer)
      timer = setTimeout(abort, SILENCE_MS)
    }
    const run = async (): Promise<types.Outcome<Answer | null, types.UnavailableError>> => {
      const other = running.get(to)
      const isDelivered = other !== undefined && await network.sendStream(from, to, REQUEST_BYTES, { signal: aborting.signal })
      if (!isDelivered || other === undefined) return types.fail(new types.UnavailableError('cut'))
      const answered = await answer(other)
      const carry = async (bytes: number, onArrival: (bytes: number) => void = () => {}): Promise<boolean> => !aborting.signal.aborted && await network.sendStream(to, from, bytes, {
        signal: aborting.signal,
        onBytes: (arrived) => {
          restartTimeout()
          onArrival(arrived)
        }
      })
      if ('bytes' in answered) return await carry(answered.bytes) ? types.succeed(answered.value) : types.fail(new types.UnavailableError('cut'))
      const carried: Promise<boolean>[] = []
      for await (const slice of answered.slices as AsyncIterable<Buffer>) {
        if (carried.length === 0) {
          carried.push(carry(HEAD_BYTES).then((isCarried) => {
            if (isCarried) onHead()
            return isCarried
          }))
        }
        carried.push(carry(slice.length, onBytes))
      }
      return (await Promise.all(carried)).every(Boolean) ? types.succeed(answered.value) : types.fail(new types.UnavailableError('cut'))
    }
    const isTimedOut = new Promise<types.Outcome<Answer | null, types.UnavailableError>>((resolve) => {
      aborting.signal.addEventListener('abort', () => { resolve(types.fail(new types.UnavailableError('time over'))) })
    })
    const outcome = await Promise.race([run(), isTimedOut])
    clearTimeout(timer)
    if (!outcome.ok) counts.abortedAnswers += 1
    return outcome
  }

  function startAgent (index: number): void {
    const name = names[index] as string
    const self: staging.StagingPeer = { node: types.brandId(name), zone: regionOf(index), address: { host: name, port: 1 } }
    const uplink = createPieceUplink.createPieceUplink(linkBytesPerMs * types.MILLISECONDS_IN_SECOND, () => UPLINK_SHARE * (running.get(name)?.stager.linkFraction() ?? 1), now)
    const known = new Map<string, KnownPeer>()
    const suspectUntil = new Map<types.NodeId, number>()
    let draws = 0
    let held = options.areServing === true ? ID.version - 1 : 0
    const stage = new Map<number, Buffer>()

    const listSuspects = (): string[] => [...suspectUntil].filter(([, until]) => until > now()).map(([node]) => node)
    const socket = network.openDatagrams(name, (bytes) => {
      const heard = JSON.parse(bytes.toString()) as Pick<KnownPeer, 'peer' | 'suspects'>
      if (heard.peer.zone !== self.zone && now() - startedAt < partitionMs) return
      const isNew = !known.has(heard.peer.node)
      known.set(heard.peer.node, { ...heard, lastHeardAt: now() })
      if (isNew) sendHeartbeat(heard.peer.node)
    })

    function sendHeartbeat (to: string): void {
      socket.send(to, Buffer.from(JSON.stringify({ peer: self, suspects: listSuspects() }).padEnd(HEARTBEAT_BYTES)))
    }

    function broadcastHeartbeat (): void {
      for (const other of names) if (other !== name) sendHeartbeat(other)
    }

    function listAgents (): staging.StagingPeer[] {
      const silenceMs = listReliableAgents.computeSilenceMs(running.get(name)?.stager.fetchingMs() ?? 0)
      const live = [...known.values()].filter(({ lastHeardAt }) => now() - lastHeardAt <= silenceMs)
      const resigned = live.filter(({ peer, suspects }) => suspects.includes(peer.node)).map(({ peer }) => peer.node)
      if (listSuspects().includes(self.node)) resigned.push(self.node)
      return listReliableAgents.listReliableAgents(self, live.map(({ peer }) => peer), [...live.map(({ suspects }) => suspects), listSuspects()], resigned)
    }

    if (startMs === 0) {
      for (const [other, node] of names.entries()) {
        if (other !== index) known.set(node, { peer: { node: types.brandId(node), zone: regionOf(other), address: { host: node, port: 1 } }, suspects: [], lastHeardAt: now() })
      }
    }

    const stager = createStager.createStager({
      self,
      model: ID.model,
      named: () => [{ id: ID, namedAt: startedAt, deadlineAt: startedAt + deadlineMs }],
      readEngine: async () => ({ bornAt: null, held, running: 0, waiting: 0, isBusy: false, isLeaving: false, sequence: 0, layers: null, layerCount: 1 }),
      engine: {
        putPiece: async (_model, piece, bytes) => {
          stage.set(piece, bytes)
          return types.succeed(null)
        },
        getPiece: async (_model, piece) => types.succeed(stage.get(piece) ?? null),
        start: async () => {
          held = ID.version
          return 'done'
        },
        unload: async () => {
          held = 0
          return 'begun'
        }
      },
      origin: createOrigin(name),
      agents: listAgents,
      expectedZones: () => now() - startedAt < ZONES_EXPECTED_MS ? REGIONS : [],
      fetchFromPeer: async (peer, id, wanted, mayRefer, { onHeaders: onHead, onBytes }) => {
        const sentAt = now()
        const fetched = await ask<createPieceFetcher.SentPiece | createPieceStore.Referral>(name, peer.node, async (other) => {
          const answer = await other.stager.providePiece(id, wanted, { node: self.node, mayRefer, waitMs: createStager.PIECE_WAIT_MS })
          if (answer === null || 'holder' in answer) return { value: answer, bytes: REQUEST_BYTES }
          return { value: { piece: answer.piece, bytes: PIECE_BODIES[answer.piece] as Buffer }, slices: answer.slices }
        }, onHead, onBytes)
        if (options.onEvent !== undefined) report(name, 'peer-piece', { peer: peer.node, wanted: wanted.length, piece: fetched.ok ? fetched.value?.piece ?? 'none' : 'failed', isReferral: fetched.ok && fetched.value !== null && 'holder' in fetched.value, tookMs: now() - sentAt })
        if (!fetched.ok || fetched.value === null || !('bytes' in fetched.value)) return fetched
        running.get(peer.node)?.stager.recordSent(id, fetched.value.piece, self.node)
        if (peer.zone !== self.zone) counts.crossings += 1
        return fetched
      },
      fetchManifest: async (peer, id) => await ask(name, peer.node, async (other) => {
        const digests = await other.stager.provideManifest(id, createManifestReader.MANIFEST_WAIT_MS)
        return { value: digests, bytes: digests === null ? REQUEST_BYTES : PIECES * DIGEST_BYTES }
      }),
      onSuspect: (node) => {
        const isNew = (suspectUntil.get(node) ?? 0) <= now()
        suspectUntil.set(node, now() + SUSPECT_MS)
        if (!isNew) return
        counts.suspicions += 1
        broadcastHeartbeat()
      },
      onTurn: () => {},
      onPause: () => {},
      observe: () => {},
      pausedMsSince: () => 0,
      onEvent: (event, fields) => {
        report(name, event, fields)
        const agent = running.get(name)
        if (event === 'version-whole' && agent !== undefined) agent.completeMs = now() - startedAt
      },
      uplink: { backlogMs: uplink.backlogMs, send: () => uplink.send(SENT_PIECE) },
      fullFetchMs: PIECES * PIECE_BYTES / (linkBytesPerMs * UPLINK_SHARE),
      pieceBytes: PIECE_BYTES,
      linkBytesPerSecond: linkBytesPerMs * types.MILLISECONDS_IN_SECOND,
      now,
      random: () => {
        draws += 1
        return membership.scoreByRendezvous(name, String(draws)) / SCORES
      }
    })
    running.set(name, { self, stager, hasSlowLink: hasSlowLink(index), isDying: isDying(index), completeMs: Infinity })
    broadcastHeartbeat()
    stager.wake()
    if (partitionMs > 0) setTimeout(broadcastHeartbeat, startedAt + partitionMs - now())
    const timer = setInterval(broadcastHeartbeat, HEARTBEAT_MS)
    stops.push(() => {
      clearInterval(timer)
      stager.stop()
    })
  }

  const calls: SimulatedCall[] = []

  async function sendCall (index: number): Promise<void> {
    const sentAt = now()
    await network.sendStream(gatewayOf(regionOf(index)), names[index] as string, CALL_BYTES)
    calls.push({ sentMs: sentAt - startedAt, tookMs: now() - sentAt })
  }

  function narrowLinks ({ agents, atMs, bytesPerMs }: NonNullable<SimulationOptions['narrowing']>): void {
    const narrowed = names.slice(0, agents)
    const narrow = (): void => { for (const name of narrowed) network.setBandwidth(name, bytesPerMs) }
    if (atMs <= 0) narrow()
    else setTimeout(narrow, atMs)
    const timer = setInterval(() => { for (const index of narrowed.keys()) void sendCall(index) }, options.callIntervalMs ?? CALL_INTERVAL_MS)
    stops.push(() => { clearInterval(timer) })
  }

  if (options.outage?.manner === 'hang') {
    setTimeout(() => { network.disconnectHost(ORIGIN) }, options.outage.fromMs)
    setTimeout(() => { network.reconnectHost(ORIGIN) }, options.outage.untilMs)
  }
  if (options.outage?.manner === 'reset') setTimeout(() => { for (const request of originRequests) request.abort() }, options.outage.fromMs)
  if (options.narrowing !== undefined) narrowLinks(options.narrowing)
  for (const index of names.keys()) setTimeout(() => { startAgent(index) }, 1 + Math.round(startMs * index / count))
  setTimeout(() => { for (const [index, name] of names.entries()) if (isDying(index)) network.disconnectHost(name) }, POWER_LOSS_MS)
  const stated: Array<{ readonly agent: SimulatedAgent, readonly atMs: number, readonly readyInMs: number | null }> = []
  const stateTimes = (): void => { for (const agent of running.values()) if (agent.completeMs === Infinity) stated.push({ agent, atMs: now() - startedAt, readyInMs: agent.stager.readyInMs() }) }
  const estimateTimer = setInterval(stateTimes, ESTIMATE_INTERVAL_MS)
  stops.push(() => { clearInterval(estimateTimer) })
  const isOver = (): boolean => running.size === count && [...running.values()].every((agent) => agent.isDying || agent.completeMs < Infinity)
  while (!isOver() && now() - startedAt < maximumMs) await advance()
  for (const stop of stops) stop()
  await advance()

  const all = [...running.values()]
  const unimpaired = all.filter((agent) => !agent.isDying && !agent.hasSlowLink).map((agent) => agent.completeMs).sort((left, right) => left - right)
  const linkSum = all.reduce((sum, _, index) => sum + rateOf(index), 0)
  const bytes = PIECES * PIECE_BYTES
  return {
    firstMs: unimpaired[0] ?? Infinity,
    firstInRegionsMs: Math.max(...REGIONS.map((region) => Math.min(...all.filter((agent) => agent.self.zone === region).map((agent) => agent.completeMs)))),
    medianMs: unimpaired[Math.floor(unimpaired.length / 2)] ?? Infinity,
    lastMs: unimpaired[unimpaired.length - 1] ?? Infinity,
    slowLastMs: Math.max(0, ...all.filter((agent) => agent.hasSlowLink).map((agent) => agent.completeMs)),
    completeAgents: all.filter((agent) => agent.completeMs < Infinity).length,
    transferBoundMs: Math.max(bytes / (linkBytesPerMs * linkFraction), bytes / originBytesPerMs, count * bytes / (originBytesPerMs + linkSum)),
    originCopies: counts.originPieceBytes / (PIECES * PIECE_BYTES),
    originRequests: counts.originRequests,
    originPeak: counts.originPeak,
    crossings: counts.crossings / PIECES / (REGIONS.length - 1),
    suspicions: counts.suspicions,
    abortedAnswers: counts.abortedAnswers,
    calls,
    estimates: stated.map(({ agent, atMs, readyInMs }) => ({ atMs, readyInMs, wholeInMs: agent.completeMs - atMs }))
  }
}
