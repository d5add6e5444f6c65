/** Fetches the pieces of one version: each from the agent that the ranks name, or from the origin. */
import * as types from '@switchridge/types'
import type * as createPieceStore from '../createPieceStore/index.js'
import type * as createReceiveWindow from '../createReceiveWindow/index.js'
import * as assignPieces from '../assignPieces/index.js'
import * as originReads from '../_lib/originReads.js'
import * as peerRequests from '../_lib/peerRequests.js'
import * as staging from '../types/index.js'

export type { PieceReceiver, SentPiece } from '../_lib/peerRequests.js'

/** Options of {@link createPieceFetcher}. */
export interface PieceFetcherOptions {
  readonly pieces: createPieceStore.VersionPieces
  readonly self: staging.StagingPeer
  /** All live agents, this one included. */
  readonly agents: () => readonly staging.StagingPeer[]
  readonly origin: staging.WeightOrigin
  readonly fetchFromPeer: peerRequests.FetchFromPeer
  /** Bounds what is requested over this agent's link; without one nothing does. */
  readonly window?: createReceiveWindow.ReceiveWindow
  /** Zones that are counted on although nobody of them may be known yet; none once they had time to be heard of. */
  readonly expectedZones: () => readonly string[]
  /** Whether to read only this agent's own part from the origin, and to leave the links between agents to an older version. */
  readonly isReadingAhead: () => boolean
  readonly now: () => number
  readonly random: () => number
  readonly onEvent: (event: FetchEvent) => void
  /** Told of a peer that failed or is slow, and of this agent itself while its link is narrow, so that all agents leave it out alike. */
  readonly onSuspect: (peer: types.NodeId) => void
}

/** Something worth a line in the log. */
export interface FetchEvent {
  readonly event: 'piece-spoilt' | 'peer-failed' | 'origin-failed'
  readonly piece: number
  readonly from: string
  readonly reason: string
}

/** Counts of one fetch. */
export interface FetchCounts {
  originPieces: number
  peerPieces: number
  otherZonePieces: number
  failures: number
}

/** A fetch under way. */
export interface PieceFetcher {
  readonly counts: FetchCounts
  /** Resolves when all pieces are here, or false when it was stopped. */
  readonly whole: Promise<boolean>
  readonly stop: () => void
}

const TICK_MS = 40
const UNBOUNDED: createReceiveWindow.ReceiveWindow = { hasRoom: () => true, isBounded: () => false, readQueueMs: () => 0, readLinkPart: () => 1, request: () => () => {}, begin: () => () => {}, noteBytes: () => {} }
const PLANS_KEPT_MS = 300
/** A peer that failed is left out of the ranks for so long. */
const SUSPECT_MS = 2000
/** When no piece has come for so long, those that are missing are asked for at other agents too. */
const OVERDUE_MS = 1000
/** Agents of other zones are asked for overdue pieces later, since bytes between zones are dear. */
const OTHER_ZONE_OVERDUE_MS = 1800
/** An overdue piece is asked for at one other agent after another, each for so long. */
const ALTERNATIVE_MS = 500
/**
 * An agent that got no piece from a peer for so long reads at the origin what others should have read. Being late is no reason:
 * when all agents are late, each of them would take a whole copy, and the origin's link has room for one.
 */
const STUCK_MS = 2500
/**
 * Such reads of all agents take half of what the origin's link carries: each agent pauses for this, times the agents, and begins at another time. With a pause for
 * each zone alone, a few zones would keep the link full.
 */
const STUCK_PAUSE_MS = 55
/** Peers that are asked at a time, up to this part of the agents: in a large fleet most peers have nothing new at a time. */
const ASKED_MINIMUM = 12
const ASKED_PART = 0.25

/**
 * Starts to fetch. Each peer is asked for all pieces that it shall provide at once, so that
 * no request waits for a piece while another one could be had.
 *
 * @param options - Where pieces are kept and how they are fetched.
 * @returns The fetch.
 */
export function createPieceFetcher (options: PieceFetcherOptions): PieceFetcher {
  const { pieces, self } = options
  const { id, digests } = pieces.manifest
  const key = staging.formatVersion(id)
  const counts: FetchCounts = { originPieces: 0, peerPieces: 0, otherZonePieces: 0, failures: 0 }
  const startedAt = options.now()
  let spreadingSince: number | null = null
  let peersGaveAt = options.now()
  let keptAt = options.now()
  let stuckReadAt: number | null = null
  const order = shuffle(digests.map((_, index) => index), options.random)
  const window = options.window ?? UNBOUNDED
  const suspectUntil = new Map<types.NodeId, number>()
  const origin = originReads.createOriginReads({
    ...options,
    id,
    window,
    countAgents: () => agents.length,
    onRead: (piece, bytes) => {
      counts.originPieces += 1
      keep(piece, bytes, 'origin')
    },
    onFailure: (piece, error) => { noteFailure({ event: 'origin-failed', piece, from: 'origin', reason: error.message }) },
    onEnd: tick
  })
  const peers = peerRequests.createPeerRequests({
    ...options,
    id,
    window,
    has: pieces.has,
    findPeer: (node) => agents.find((agent) => agent.node === node),
    onPiece: notePeerPiece,
    onFailure: (peer, piece, error) => {
      suspect(peer.node)
      noteFailure({ event: 'peer-failed', piece, from: peer.node, reason: error.message })
    },
    onSlow: (node) => { if ((suspectUntil.get(node) ?? 0) <= options.now()) suspect(node) },
    onEnd: tick
  })
  let plans: readonly assignPieces.ProviderPlan[] = []
  let agents: readonly staging.StagingPeer[] = []
  let countedZones = 0
  let plannedAt = -Infinity
  let turn = 0
  let isStopped = false
  let finish: (isWhole: boolean) => void = () => {}
  const whole = new Promise<boolean>((resolve) => { finish = resolve })

  /** Deals anew when agents came, went or failed. */
  function refreshPlans (): void {
    const now = options.now()
    if (now - plannedAt < PLANS_KEPT_MS) return
    plannedAt = now
    const next = options.agents().filter((agent) => agent.node === self.node || (suspectUntil.get(agent.node) ?? 0) <= now)
    const zones = options.expectedZones()
    if (isSame(next, agents) && zones.length === countedZones) return
    agents = next
    countedZones = zones.length
    plans = assignPieces.assignPieces(key, digests.length, self, agents, zones)
  }

  /** Since when pieces are taken from peers, too. */
  function spreadFrom (): number {
    if (spreadingSince === null && !options.isReadingAhead()) spreadingSince = options.now()
    return spreadingSince ?? options.now()
  }

  function listMissing (): number[] {
    return order.filter((piece) => !pieces.has(piece))
  }

  function tick (): void {
    if (isStopped || pieces.isWhole()) {
      end()
      return
    }
    peers.reportSlow()
    if (window.readLinkPart() < 1) options.onSuspect(self.node)
    refreshPlans()
    const missing = listMissing()
    turn += 1
    const overdueMs = options.now() - Math.max(keptAt, spreadFrom()) - OVERDUE_MS
    readFromOrigin(missing)
    if (options.isReadingAhead()) return
    const maximumAsked = Math.max(ASKED_MINIMUM, agents.length * ASKED_PART)
    for (const [peer, wanted] of rotate([...groupByPeer(missing, overdueMs)], turn)) {
      if (!peers.mayAsk(maximumAsked)) break
      if (peer.node !== self.node && !peers.isAsked(peer.node)) peers.ask(peer, wanted)
    }
  }

  /** Reads this agent's own part; all others too, slowly, once peers have given nothing for long. */
  function readFromOrigin (missing: readonly number[]): void {
    const now = options.now()
    if (now - Math.max(peersGaveAt, spreadFrom()) < STUCK_MS) stuckReadAt = null
    else stuckReadAt ??= now + options.random() * STUCK_PAUSE_MS * agents.length
    const mayReadOthers = stuckReadAt !== null && now >= stuckReadAt
    for (const piece of missing) {
      if (!origin.mayBegin()) return
      const isOwn = plans[piece]?.part === 'reader'
      if ((!isOwn && !mayReadOthers) || origin.isReading(piece)) continue
      if (!isOwn) stuckReadAt = now + STUCK_PAUSE_MS * agents.length
      origin.begin(piece)
    }
  }

  /** Which pieces each peer is to be asked for; each piece is looked at once, however many agents there are. */
  function groupByPeer (missing: readonly number[], overdueMs: number): Map<staging.StagingPeer, number[]> {
    const others = overdueMs < OTHER_ZONE_OVERDUE_MS ? agents.filter((agent) => agent.zone === self.zone) : agents
    const shift = Math.floor((options.now() - startedAt) / ALTERNATIVE_MS)
    const groups = new Map<staging.StagingPeer, number[]>()
    const byNode = new Map(agents.map((agent) => [agent.node, agent]))

    function add (peer: staging.StagingPeer | undefined, piece: number): void {
      if (peer === undefined) return
      const group = groups.get(peer)
      if (group === undefined) groups.set(peer, [piece])
      else if (group.at(-1) !== piece) group.push(piece)
    }

    for (const piece of missing) {
      if (origin.isReading(piece)) continue
      const provider = plans[piece]?.provider
      if (provider !== undefined && provider !== null) add(byNode.get(provider.node), piece)
      if (overdueMs >= 0 || origin.isFailing(piece)) add(others[(piece + shift) % others.length], piece)
    }
    return groups
  }

  function suspect (node: types.NodeId): void {
    options.onSuspect(node)
    suspectUntil.set(node, options.now() + SUSPECT_MS)
    plannedAt = -Infinity
  }

  function notePeerPiece (peer: staging.StagingPeer, sent: peerRequests.SentPiece): void {
    counts.peerPieces += 1
    peersGaveAt = options.now()
    if (peer.zone !== self.zone) counts.otherZonePieces += 1
    keep(sent.piece, sent.bytes, peer.node)
  }

  function keep (piece: number, bytes: Buffer, from: string): void {
    if (pieces.put(piece, bytes)) {
      keptAt = options.now()
      return
    }
    noteFailure({ event: 'piece-spoilt', piece, from, reason: `${bytes.length} bytes that do not match their digest` })
  }

  function noteFailure (event: FetchEvent): void {
    counts.failures += 1
    options.onEvent(event)
  }

  function end (): void {
    clearInterval(timer)
    finish(pieces.isWhole())
  }

  const timer = setInterval(tick, TICK_MS)
  tick()
  return { counts, whole, stop: () => { isStopped = true } }
}

/** Starts a list at another place each time, so that nobody is asked last always. */
function rotate<Item> (items: readonly Item[], places: number): Item[] {
  const first = items.length === 0 ? 0 : places % items.length
  return [...items.slice(first), ...items.slice(0, first)]
}

/** Whether two lists name the same agents; their order does not matter. */
function isSame (left: readonly staging.StagingPeer[], right: readonly staging.StagingPeer[]): boolean {
  const names = new Set(right.map((agent) => agent.node))
  return left.length === right.length && left.every((agent) => names.has(agent.node))
}

function shuffle (items: readonly number[], random: () => number): number[] {
  const shuffled = [...items]
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = Math.floor(random() * (index + 1));
    [shuffled[index], shuffled[other]] = [shuffled[other] as number, shuffled[index] as number]
  }
  return shuffled
}
