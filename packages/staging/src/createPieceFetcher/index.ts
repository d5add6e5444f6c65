/** Fetches the pieces of one version, each from its assigned agent or from the origin. */
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
  /** Limits the requests over this agent's link; without it they are not limited. */
  readonly window?: createReceiveWindow.ReceiveWindow
  /** Zones that take part although none of their agents may be known yet; empty once there was time to discover them. */
  readonly expectedZones: () => readonly string[]
  /** Whether to read only the pieces assigned to this agent from the origin, and to leave the links between agents to an older version. */
  readonly isPrefetching: () => boolean
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
  readonly onEvent: (event: FetchEvent) => void
  /** Called with a peer that failed or is slow, and with this agent itself while its link is slow, so that all agents exclude it alike. */
  readonly onSuspect: (peer: types.NodeId) => void
}

/** An event for the log. */
export interface FetchEvent {
  readonly event: 'piece-spoilt' | 'peer-failed' | 'origin-failed'
  readonly piece: number
  readonly from: string
  readonly reason: string
}

/** Pieces that one fetch received, and its failures. */
export interface FetchCounts {
  originPieces: number
  peerPieces: number
  otherZonePieces: number
  /** Failed requests and reads, and pieces that did not match their digest. */
  failures: number
}

/** A fetch in progress. */
export interface PieceFetcher {
  readonly counts: FetchCounts
  /** Resolves with true when all pieces are stored, or with false when the fetch was stopped. */
  readonly completion: Promise<boolean>
  /** Stops the fetch at its next step; pieces that are stored stay. */
  readonly stop: () => void
}

/** Interval of the steps that look for pieces to request. */
const TICK_MS = 40
const UNBOUNDED_WINDOW: createReceiveWindow.ReceiveWindow = { hasRoom: () => true, isBounded: () => false, queueMs: () => 0, linkFraction: () => 1, request: () => () => {}, beginArrival: () => () => {}, recordBytes: () => {} }
/** Shortest time between two assignments of the pieces, unless a peer fails. */
const ASSIGNMENT_INTERVAL_MS = 300
/** A peer that failed is excluded from the assignment for this time. */
const SUSPECT_MS = 2000
/** When no piece has arrived for this time, the missing ones are overdue and also requested from other agents. */
const OVERDUE_MS = 1000
/** Overdue pieces are requested from agents of other zones only after this additional time, since traffic between zones is expensive. */
const OTHER_ZONE_OVERDUE_MS = 1800
/** An overdue piece is requested from one other agent after another, from each for this time. */
const ALTERNATIVE_PEER_MS = 500
/**
 * An agent that got no piece from any peer for this time reads pieces from the origin that are assigned to others. Being late alone is no reason:
 * when all agents are late, each of them would read a whole copy, and the origin's link has capacity for one.
 */
const STALLED_MS = 2500
/**
 * Together these reads use half of the origin's link: each agent pauses for this time multiplied by the number of agents, and begins at a random time. With a
 * pause proportional to the zones alone, a few zones would saturate the link.
 */
const FALLBACK_PAUSE_PER_AGENT_MS = 55
/** Number of peers that are asked concurrently, or this fraction of the agents if that is more: in a large fleet most peers have nothing new at any time. */
const CONCURRENT_PEERS_MINIMUM = 12
const CONCURRENT_PEERS_FRACTION = 0.25

/**
 * Starts to fetch. Each peer is asked for all pieces that it is assigned to provide at once, so that
 * no request waits for one piece while another is available.
 *
 * @param options - The store, and the sources of pieces.
 * @returns The fetch in progress.
 */
export function createPieceFetcher (options: PieceFetcherOptions): PieceFetcher {
  const { pieces, self } = options
  const { id, digests } = pieces.manifest
  const key = staging.formatVersion(id)
  const counts: FetchCounts = { originPieces: 0, peerPieces: 0, otherZonePieces: 0, failures: 0 }
  const startedAt = options.now()
  let peersUsedSince: number | null = null
  let lastPeerPieceAt = options.now()
  let lastPieceAt = options.now()
  let fallbackReadAt: number | null = null
  const order = shuffle(digests.map((_, index) => index), options.random)
  const window = options.window ?? UNBOUNDED_WINDOW
  const suspectUntil = new Map<types.NodeId, number>()
  const origin = originReads.createOriginReads({
    ...options,
    id,
    window,
    countReaders: () => Math.min(agents.length, assignPieces.MAXIMUM_READERS),
    onRead: (piece, bytes) => {
      counts.originPieces += 1
      store(piece, bytes, 'origin')
    },
    onFailure: (piece, error) => { recordFailure({ event: 'origin-failed', piece, from: 'origin', reason: error.message }) },
    onEnd: tick
  })
  const peers = peerRequests.createPeerRequests({
    ...options,
    id,
    window,
    has: pieces.has,
    findPeer: (node) => agents.find((agent) => agent.node === node),
    onPiece: recordPeerPiece,
    onFailure: (peer, piece, error) => {
      suspect(peer.node)
      recordFailure({ event: 'peer-failed', piece, from: peer.node, reason: error.message })
    },
    onSlow: (node) => { if ((suspectUntil.get(node) ?? 0) <= options.now()) suspect(node) },
    onEnd: tick
  })
  let assignments: readonly assignPieces.PieceAssignment[] = []
  let agents: readonly staging.StagingPeer[] = []
  let assignedZones = 0
  let assignedAt = -Infinity
  let round = 0
  let isStopped = false
  let finish: (isWhole: boolean) => void = () => {}
  const completion = new Promise<boolean>((resolve) => { finish = resolve })

  /** Assigns pieces anew when agents have joined, left or failed. */
  function refreshAssignments (): void {
    const now = options.now()
    if (now - assignedAt < ASSIGNMENT_INTERVAL_MS) return
    assignedAt = now
    const next = options.agents().filter((agent) => agent.node === self.node || (suspectUntil.get(agent.node) ?? 0) <= now)
    const zones = options.expectedZones()
    if (hasSameAgents(next, agents) && zones.length === assignedZones) return
    agents = next
    assignedZones = zones.length
    assignments = assignPieces.assignPieces(key, digests.length, self, agents, zones)
  }

  /** Time since which pieces are requested from peers, too. */
  function readPeersUsedSince (): number {
    if (peersUsedSince === null && !options.isPrefetching()) peersUsedSince = options.now()
    return peersUsedSince ?? options.now()
  }

  function listMissing (): number[] {
    return order.filter((piece) => !pieces.has(piece))
  }

  function tick (): void {
    if (isStopped || pieces.isWhole()) {
      end()
      return
    }
    peers.reportSlowPeers()
    if (window.linkFraction() < 1) options.onSuspect(self.node)
    refreshAssignments()
    const missing = listMissing()
    round += 1
    const overdueMs = options.now() - Math.max(lastPieceAt, readPeersUsedSince()) - OVERDUE_MS
    readFromOrigin(missing)
    if (options.isPrefetching()) return
    const maximumAsked = Math.max(CONCURRENT_PEERS_MINIMUM, agents.length * CONCURRENT_PEERS_FRACTION)
    for (const [peer, wanted] of rotate([...groupByPeer(missing, overdueMs)], round)) {
      if (!peers.mayAsk(maximumAsked)) break
      if (peer.node !== self.node && !peers.isAsked(peer.node)) peers.ask(peer, wanted)
    }
  }

  /** Reads the pieces assigned to this agent, and after them all others, slowly, once peers have provided nothing for long although the origin is available. */
  function readFromOrigin (missing: readonly number[]): void {
    const now = options.now()
    if (now - Math.max(lastPeerPieceAt, readPeersUsedSince(), origin.lastFailureAt()) < STALLED_MS) fallbackReadAt = null
    else fallbackReadAt ??= now + options.random() * FALLBACK_PAUSE_PER_AGENT_MS * agents.length
    if (!origin.mayBegin()) return
    const unread = missing.filter((piece) => !origin.isReading(piece))
    const assigned = unread.find((piece) => assignments[piece]?.part === 'reader')
    if (assigned !== undefined) {
      origin.begin(assigned)
      return
    }
    const other = unread[0]
    if (other === undefined || fallbackReadAt === null || now < fallbackReadAt) return
    fallbackReadAt = now + FALLBACK_PAUSE_PER_AGENT_MS * agents.length
    origin.begin(other)
  }

  /** Groups the missing pieces by the peer to ask; each piece is visited once, however many agents there are. */
  function groupByPeer (missing: readonly number[], overdueMs: number): Map<staging.StagingPeer, number[]> {
    const others = overdueMs < OTHER_ZONE_OVERDUE_MS ? agents.filter((agent) => agent.zone === self.zone) : agents
    const shift = Math.floor((options.now() - startedAt) / ALTERNATIVE_PEER_MS)
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
      const provider = assignments[piece]?.provider
      if (provider !== undefined && provider !== null) add(byNode.get(provider.node), piece)
      if (overdueMs >= 0 || origin.isFailing(piece)) add(others[(piece + shift) % others.length], piece)
    }
    return groups
  }

  function suspect (node: types.NodeId): void {
    options.onSuspect(node)
    suspectUntil.set(node, options.now() + SUSPECT_MS)
    assignedAt = -Infinity
  }

  function recordPeerPiece (peer: staging.StagingPeer, sent: peerRequests.SentPiece): void {
    counts.peerPieces += 1
    lastPeerPieceAt = options.now()
    if (peer.zone !== self.zone) counts.otherZonePieces += 1
    store(sent.piece, sent.bytes, peer.node)
  }

  function store (piece: number, bytes: Buffer, from: string): void {
    if (pieces.put(piece, bytes)) {
      lastPieceAt = options.now()
      return
    }
    recordFailure({ event: 'piece-spoilt', piece, from, reason: `${bytes.length} bytes that do not match their digest` })
  }

  function recordFailure (event: FetchEvent): void {
    counts.failures += 1
    options.onEvent(event)
  }

  function end (): void {
    clearInterval(timer)
    finish(pieces.isWhole())
  }

  const timer = setInterval(tick, TICK_MS)
  tick()
  return { counts, completion, stop: () => { isStopped = true } }
}

/** Rotates a list by a different offset each time, so that no peer is always asked last. */
function rotate<Item> (items: readonly Item[], offset: number): Item[] {
  const first = items.length === 0 ? 0 : offset % items.length
  return [...items.slice(first), ...items.slice(0, first)]
}

/** Whether two lists contain the same agents in any order. */
function hasSameAgents (left: readonly staging.StagingPeer[], right: readonly staging.StagingPeer[]): boolean {
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
