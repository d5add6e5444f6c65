/** Fetches the pieces of one version: each from the agent that the ranks name, or from the origin. */
import * as types from '@switchridge/types'
import type * as createPieceStore from '../createPieceStore/index.js'
import * as dealPieces from '../dealPieces/index.js'
import * as staging from '../types/index.js'

/** A piece that a peer chose among those that it was asked for. */
export interface SentPiece {
  readonly piece: number
  readonly bytes: Buffer
}

/** Options of {@link createPieceFetcher}. */
export interface PieceFetcherOptions {
  readonly pieces: createPieceStore.VersionPieces
  readonly self: staging.StagingPeer
  /** All live agents, this one included. */
  readonly agents: () => readonly staging.StagingPeer[]
  readonly origin: staging.WeightOrigin
  /** Asks a peer for any of some pieces; the peer waits until it has one. Null when it has none or is busy. */
  readonly fetchFromPeer: (peer: staging.StagingPeer, id: staging.VersionId, wanted: readonly number[], mayRefer: boolean) => Promise<types.Outcome<SentPiece | createPieceStore.Referral | null, types.UnavailableError>>
  /** Zones that are counted on although nobody of them may be known yet; none once they had time to be heard of. */
  readonly expectedZones: () => readonly string[]
  /** Whether to read only this agent's own part from the origin, and to leave the links between agents to an older version. */
  readonly isReadingAhead: () => boolean
  readonly now: () => number
  readonly random: () => number
  readonly onEvent: (event: FetchEvent) => void
  /** Told of a peer that failed or is slow, so that all agents leave it out alike. */
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
const PLANS_KEPT_MS = 300
/** A peer that failed is left out of the ranks for so long. */
const SUSPECT_MS = 2000
/** When no piece has come for so long, those that are missing are asked for at other agents too. */
const OVERDUE_MS = 1000
/** Agents of other zones are asked for overdue pieces later, since bytes between zones are dear. */
const OTHER_ZONE_OVERDUE_MS = 1800
/** A peer that takes longer for one piece, and so many times longer than others take, is left out as if it had failed. */
const SLOW_MS = 1300
const SLOW_FACTOR = 4
/** Weight of the last piece in what peers typically take. */
const TYPICAL_WEIGHT = 0.2
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
/** Peers that a piece is asked for at one after the other, as each tells of the next. */
const REFERRALS_MAXIMUM = 2
const FAILED_PAUSE_MS = 60
/**
 * The pause of an agent after a failed read of the origin doubles with each failure in a row, up to this for each agent: all together then ask
 * equally often in a fleet of any size, and an origin that comes back is read soon in a small one.
 */
const ORIGIN_PAUSE_AGENT_MS = 20
const ORIGIN_PAUSE_LEAST_MS = 200
const ORIGIN_PAUSE_MAXIMUM_MS = 3000
/** A pause is between this part and the whole, so that agents that were refused together don't come back together. */
const ORIGIN_PAUSE_LEAST_PART = 0.5
/**
 * Reads that an agent has at the origin at a time: all agents share its link and its bound of connections, so that
 * with more of them every first piece comes later, and nobody has anything to pass on until then.
 */
const ORIGIN_LANES = 1
/** After so many failures at the origin a piece is also asked for at other agents. */
const ORIGIN_FAILURES_ALONE = 2
/** Peers that are asked at a time; fewer when pieces take long, so that a narrow link is not filled up. */
const WINDOW_FIRST = 8
const WINDOW_MAXIMUM = 12
/** The window grows up to this part of the agents, since in a large fleet most peers have nothing new at a time. */
const WINDOW_PART = 0.25
const WINDOW_MINIMUM = 4
const WINDOW_INCREASE = 0.5
const WINDOW_DECREASE = 0.5
const SLOW_PIECE_MS = 1000

/**
 * Starts to fetch. There is one request at a time to each peer, for all pieces that it shall provide, so that
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
  /** What peers lately took for a piece, smoothed. */
  let typicalMs = SLOW_PIECE_MS
  const order = shuffle(digests.map((_, index) => index), options.random)
  const readingOrigin = new Set<number>()
  /** Failed reads of each piece at the origin. */
  const originFailures = new Map<number, number>()
  let failuresInRow = 0
  let originFrom = -Infinity
  const busy = new Set<types.NodeId>()
  /** Peers whose last answer was a piece. */
  const givers = new Set<types.NodeId>()
  const asks = new Set<{ readonly node: types.NodeId, readonly since: number }>()
  const suspectUntil = new Map<types.NodeId, number>()
  let plans: readonly dealPieces.ProviderPlan[] = []
  let agents: readonly staging.StagingPeer[] = []
  let countedZones = 0
  let plannedAt = -Infinity
  let window = WINDOW_FIRST
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
    plans = dealPieces.dealPieces(key, digests.length, self, agents, zones)
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
    suspectSlowPeers()
    refreshPlans()
    const missing = listMissing()
    turn += 1
    const overdueMs = options.now() - Math.max(keptAt, spreadFrom()) - OVERDUE_MS
    readFromOrigin(missing)
    if (options.isReadingAhead()) return
    for (const [peer, wanted] of rotate([...groupByPeer(missing, overdueMs)], turn)) {
      if (busy.size >= window) break
      if (peer.node !== self.node && !busy.has(peer.node)) void askInParts(peer, wanted)
    }
  }

  /** Reads this agent's own part; all others too, slowly, once peers have given nothing for long. */
  function readFromOrigin (missing: readonly number[]): void {
    const now = options.now()
    if (now - Math.max(peersGaveAt, spreadFrom()) < STUCK_MS) stuckReadAt = null
    else stuckReadAt ??= now + options.random() * STUCK_PAUSE_MS * agents.length
    const mayReadOthers = stuckReadAt !== null && now >= stuckReadAt
    for (const piece of missing) {
      if (readingOrigin.size >= ORIGIN_LANES || now < originFrom) return
      const isOwn = plans[piece]?.part === 'reader'
      if ((!isOwn && !mayReadOthers) || readingOrigin.has(piece)) continue
      if (!isOwn) stuckReadAt = now + STUCK_PAUSE_MS * agents.length
      void readOrigin(piece)
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
      if (readingOrigin.has(piece)) continue
      const provider = plans[piece]?.provider
      if (provider !== undefined && provider !== null) add(byNode.get(provider.node), piece)
      const isOriginFailing = (originFailures.get(piece) ?? 0) >= ORIGIN_FAILURES_ALONE
      if (overdueMs >= 0 || isOriginFailing) add(others[(piece + shift) % others.length], piece)
    }
    return groups
  }

  function suspectSlowPeers (): void {
    const now = options.now()
    const slowMs = Math.max(SLOW_MS, SLOW_FACTOR * typicalMs)
    for (const { node, since } of asks) {
      if (now - since >= slowMs && (suspectUntil.get(node) ?? 0) <= now) suspect(node)
    }
  }

  function suspect (node: types.NodeId): void {
    options.onSuspect(node)
    suspectUntil.set(node, options.now() + SUSPECT_MS)
    plannedAt = -Infinity
  }

  async function readOrigin (piece: number): Promise<void> {
    readingOrigin.add(piece)
    const read = await options.origin.readPiece(id, piece)
    if (read.ok) {
      counts.originPieces += 1
      failuresInRow = 0
      keep(piece, read.value, 'origin')
    } else {
      noteOriginFailure(piece)
      noteFailure({ event: 'origin-failed', piece, from: 'origin', reason: read.error.message })
    }
    readingOrigin.delete(piece)
    tick()
  }

  /** The origin refuses connections beyond its bound: whoever was refused comes back later each time, for whichever piece. */
  function noteOriginFailure (piece: number): void {
    originFailures.set(piece, (originFailures.get(piece) ?? 0) + 1)
    failuresInRow += 1
    const maximumMs = Math.min(ORIGIN_PAUSE_MAXIMUM_MS, Math.max(ORIGIN_PAUSE_LEAST_MS, ORIGIN_PAUSE_AGENT_MS * agents.length))
    const pauseMs = Math.min(maximumMs, FAILED_PAUSE_MS * 2 ** (failuresInRow - 1))
    originFrom = options.now() + types.jitter(pauseMs, ORIGIN_PAUSE_LEAST_PART, options.random())
  }

  /** A peer that gave a piece lately is asked for two at a time, since its uplink would be idle until the next request comes. */
  async function askInParts (peer: staging.StagingPeer, wanted: readonly number[]): Promise<void> {
    busy.add(peer.node)
    const half = givers.has(peer.node) ? Math.floor(wanted.length / 2) : 0
    await Promise.all([wanted.slice(0, half), wanted.slice(half)].map(async (part) => { if (part.length > 0) await askPeer(peer, part) }))
    busy.delete(peer.node)
    tick()
  }

  async function askPeer (peer: staging.StagingPeer, wanted: readonly number[]): Promise<void> {
    let referral = await ask(peer, wanted, true)
    for (let followed = 1; referral !== null && followed <= REFERRALS_MAXIMUM; followed += 1) {
      referral = await askHolder(peer, referral, followed < REFERRALS_MAXIMUM)
    }
  }

  /** A holder that is left out here is not asked; who told of it sends the piece then. */
  async function askHolder (teller: staging.StagingPeer, { piece, holder }: createPieceStore.Referral, mayRefer: boolean): Promise<createPieceStore.Referral | null> {
    if (pieces.has(piece)) return null
    const peer = agents.find((agent) => agent.node === holder)
    return peer === undefined ? await ask(teller, [piece], false) : await ask(peer, [piece], mayRefer)
  }

  /** Asks one peer and keeps what it sends; the answer is another peer to ask, if any. */
  async function ask (peer: staging.StagingPeer, wanted: readonly number[], mayRefer: boolean): Promise<createPieceStore.Referral | null> {
    const asked = { node: peer.node, since: options.now() }
    asks.add(asked)
    const fetched = await options.fetchFromPeer(peer, id, wanted, mayRefer)
    asks.delete(asked)
    if (!fetched.ok) {
      suspect(peer.node)
      noteFailure({ event: 'peer-failed', piece: wanted[0] as number, from: peer.node, reason: fetched.error.message })
      await types.delay(FAILED_PAUSE_MS)
      return null
    }
    if (fetched.value === null) givers.delete(peer.node)
    if (fetched.value === null || 'holder' in fetched.value) return fetched.value
    givers.add(peer.node)
    counts.peerPieces += 1
    peersGaveAt = options.now()
    if (peer.zone !== self.zone) counts.otherZonePieces += 1
    keep(fetched.value.piece, fetched.value.bytes, peer.node)
    noteTime(options.now() - asked.since)
    return null
  }

  function noteTime (tookMs: number): void {
    typicalMs += (tookMs - typicalMs) * TYPICAL_WEIGHT
    adaptWindow(tookMs)
  }

  function adaptWindow (tookMs: number): void {
    window = tookMs > SLOW_PIECE_MS ? Math.max(WINDOW_MINIMUM, window * WINDOW_DECREASE) : Math.min(Math.max(WINDOW_MAXIMUM, agents.length * WINDOW_PART), window + WINDOW_INCREASE)
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
