/** Fetches the pieces of one version: each from the agent that the ranks name, or from the origin. */
import * as types from '@switchridge/types'
import type * as createPieceStore from '../createPieceStore/index.js'
import * as rankProviders from '../rankProviders/index.js'
import * as staging from '../types/index.js'

/** Options of {@link createPieceFetcher}. */
export interface PieceFetcherOptions {
  readonly pieces: createPieceStore.VersionPieces
  readonly self: staging.StagingPeer
  /** All live agents, this one included. */
  readonly agents: () => readonly staging.StagingPeer[]
  readonly origin: staging.WeightOrigin
  /** Asks a peer for a piece; it may wait for it. Null when the peer does not have it. */
  readonly fetchFromPeer: (peer: staging.StagingPeer, id: staging.VersionId, piece: number) => Promise<types.Outcome<Buffer | null, types.UnavailableError>>
  /** Monotonic time in milliseconds from which pieces that are missing come from the origin. */
  readonly originFrom: () => number
  readonly now: () => number
  readonly random: () => number
  readonly onEvent: (event: FetchEvent) => void
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

const ORIGIN_LANES = 2
const PEER_LANES = 5
const RETRY_MS = 60
const RANKS_KEPT_MS = 300
/** Failures after which a piece is asked for at any agent, and then at the origin. */
const ANY_PEER_AFTER = 2
const ORIGIN_AFTER = 5

/**
 * Starts to fetch.
 *
 * @param options - Where pieces are kept and how they are fetched.
 * @returns The fetch.
 */
export function createPieceFetcher (options: PieceFetcherOptions): PieceFetcher {
  const { pieces, self } = options
  const { id, digests } = pieces.manifest
  const key = staging.formatVersion(id)
  const counts: FetchCounts = { originPieces: 0, peerPieces: 0, otherZonePieces: 0, failures: 0 }
  const failures = new Map<number, number>()
  const open = new Set<number>()
  const order = shuffle(digests.map((_, index) => index), options.random)
  const ranks = new Map<number, rankProviders.ProviderPlan>()
  let agents: readonly staging.StagingPeer[] = []
  let rankedAt = -Infinity
  let isStopped = false

  /** Ranks are kept for a moment, since agents come and go seldom. */
  function plan (piece: number): rankProviders.ProviderPlan {
    if (options.now() - rankedAt > RANKS_KEPT_MS) {
      rankedAt = options.now()
      agents = options.agents()
      ranks.clear()
    }
    const known = ranks.get(piece)
    if (known !== undefined) return known
    const ranked = rankProviders.rankProviders(`${key}/${piece}`, self, agents)
    ranks.set(piece, ranked)
    return ranked
  }

  function readsOrigin (piece: number): boolean {
    if ((failures.get(piece) ?? 0) >= ORIGIN_AFTER || options.now() >= options.originFrom()) return true
    return plan(piece).part === 'reader'
  }

  /** The next missing piece of a lane; importers' pieces first, since others wait for them. */
  function takeNext (isOriginLane: boolean): number | null {
    const candidates = order.filter((piece) => !pieces.has(piece) && !open.has(piece) && readsOrigin(piece) === isOriginLane)
    return candidates.find((piece) => plan(piece).part === 'importer') ?? candidates[0] ?? null
  }

  async function runLane (isOriginLane: boolean): Promise<void> {
    while (!isStopped && !pieces.isWhole()) {
      const piece = takeNext(isOriginLane)
      if (piece === null) {
        await types.delay(RETRY_MS)
        continue
      }
      open.add(piece)
      const isHere = isOriginLane ? await readOrigin(piece) : await askPeers(piece)
      open.delete(piece)
      if (isHere) continue
      failures.set(piece, (failures.get(piece) ?? 0) + 1)
      counts.failures += 1
      await types.delay(RETRY_MS)
    }
  }

  async function readOrigin (piece: number): Promise<boolean> {
    const read = await options.origin.readPiece(id, piece)
    if (!read.ok) {
      options.onEvent({ event: 'origin-failed', piece, from: 'origin', reason: read.error.message })
      return false
    }
    counts.originPieces += 1
    return keep(piece, read.value, 'origin')
  }

  async function askPeers (piece: number): Promise<boolean> {
    const failed = failures.get(piece) ?? 0
    const { providers } = plan(piece)
    const peer = failed >= ANY_PEER_AFTER ? pickAny() : providers[failed % providers.length]
    if (peer === undefined) return false
    const fetched = await options.fetchFromPeer(peer, id, piece)
    if (!fetched.ok) {
      options.onEvent({ event: 'peer-failed', piece, from: peer.node, reason: fetched.error.message })
      return false
    }
    if (fetched.value === null) return false
    counts.peerPieces += 1
    if (peer.zone !== self.zone) counts.otherZonePieces += 1
    return keep(piece, fetched.value, peer.node)
  }

  function pickAny (): staging.StagingPeer | undefined {
    const others = options.agents().filter((agent) => agent.node !== self.node)
    return others[Math.floor(options.random() * others.length)]
  }

  function keep (piece: number, bytes: Buffer, from: string): boolean {
    if (pieces.put(piece, bytes)) return true
    options.onEvent({ event: 'piece-spoilt', piece, from, reason: `${bytes.length} bytes that do not match their digest` })
    return false
  }

  const lanes = [
    ...Array.from({ length: ORIGIN_LANES }, async () => { await runLane(true) }),
    ...Array.from({ length: PEER_LANES }, async () => { await runLane(false) })
  ]
  return {
    counts,
    whole: Promise.all(lanes).then(() => pieces.isWhole()),
    stop: () => { isStopped = true }
  }
}

function shuffle (items: readonly number[], random: () => number): number[] {
  const shuffled = [...items]
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = Math.floor(random() * (index + 1));
    [shuffled[index], shuffled[other]] = [shuffled[other] as number, shuffled[index] as number]
  }
  return shuffled
}
