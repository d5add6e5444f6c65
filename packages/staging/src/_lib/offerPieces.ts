/** Provides peers with the pieces that an agent holds: those that are being fetched, those in memory, and those in the stage of its engine. */
import * as types from '@switchridge/types'
import type * as createManifestReader from '../createManifestReader/index.js'
import type * as createPieceStore from '../createPieceStore/index.js'
import type * as createPieceUplink from '../createPieceUplink/index.js'
import type * as staging from '../types/index.js'

/** A peer that requests pieces. */
export interface PieceRequester {
  readonly node: types.NodeId
  /** Whether it may be referred to another holder. */
  readonly mayRefer: boolean
  /** Longest time for which its request is held, in milliseconds. */
  readonly waitMs: number
}

/** A piece that is sent to a peer. */
export interface ProvidedPiece {
  readonly piece: number
  readonly bytes: number
  /** The bytes, yielded when the link has capacity for them. */
  readonly slices: AsyncIterable<Buffer>
}

/** Answer to a request for pieces: one of them, a referral to a holder, or null for nothing. */
export type PieceAnswer = ProvidedPiece | createPieceStore.Referral | null

/** Options of {@link createPieceOffers} that the agent supplies. */
export interface OfferOptions {
  readonly model: string
  readonly self: staging.StagingPeer
  readonly agents: () => readonly staging.StagingPeer[]
  readonly engine: staging.StagedEngine
  /** Sends pieces to peers. */
  readonly uplink: createPieceUplink.PieceUplink
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Options of {@link createPieceOffers} that the stager adds. */
interface PieceSources {
  readonly store: createPieceStore.PieceStore
  readonly manifests: createManifestReader.ManifestReader
  /** Whether pieces of a version are being fetched. */
  readonly isBeingFetched: (id: staging.VersionId) => boolean
  readonly isStopped: () => boolean
}

/** Provides a peer with one of the wanted pieces; waits for those that are being fetched. */
export type ProvidePiece = (id: staging.VersionId, wanted: readonly number[], requester: PieceRequester) => Promise<PieceAnswer>

/**
 * Milliseconds for which an agent holds a peer's request for a piece that it does not have yet. With 150, more than half of the requests were answered with nothing; with 500, a
 * slow answer would look like a slow peer.
 */
export const PIECE_WAIT_MS = 300
/** Pause before a request is answered with nothing, so that the peer does not repeat it at once. */
const UNAVAILABLE_PAUSE_MS = 50
/** Backlog above which a peer is referred to another holder. With more than about three pieces queued at the uplink it gets a piece sooner from an agent that has it by now. */
const BACKLOG_LIMIT_MS = 130
/** Backlog above which a peer that was referred here is refused. */
const REFERRED_BACKLOG_LIMIT_MS = 400
/** Limits of the interval at which the uplink's backlog is checked again, normally when it should be short enough: meanwhile another holder may become known. */
const BACKLOG_POLL_MINIMUM_MS = 15
const BACKLOG_POLL_MAXIMUM_MS = 60
/** The list of agents in the same zone is cached for this time; listing them at each check would be a large part of an agent's work while it distributes a version. */
const ZONE_CACHE_MS = 200

/**
 * Creates the function that answers peers' requests for pieces.
 *
 * @param options - Sources of pieces, the uplink and the peers.
 * @returns Answers a request for pieces.
 */
export function createPieceOffers (options: OfferOptions & PieceSources): ProvidePiece {
  let zoneNodes: ReadonlySet<types.NodeId> = new Set()
  let zoneListedAt = -Infinity

  /** Reads a piece that is only in the stage of the engine, written there before this process started. */
  async function readFromStage (id: staging.VersionId, wanted: readonly number[]): Promise<createPieceStore.PickedPiece | null> {
    const manifest = await options.manifests.obtain(id, Infinity, () => !options.isStopped())
    if (manifest === null) return null
    const pieces = options.store.open(manifest)
    const held = pieces.pickForPeer(wanted)
    if (held !== null) return held
    for (const piece of wanted) {
      const staged = await options.engine.getPiece(id.model, piece)
      if (staged.ok && staged.value !== null && pieces.put(piece, staged.value)) return pieces.pickForPeer([piece])
    }
    await types.delay(UNAVAILABLE_PAUSE_MS)
    return null
  }

  /**
   * While the uplink has a backlog, a requester is referred to another agent that has the piece by now, so that pieces spread in a tree.
   * Agents of other zones are queued instead: they import the piece for their zone, where no other agent has it.
   */
  async function offer (pieces: createPieceStore.VersionPieces, wanted: readonly number[], requester: PieceRequester): Promise<PieceAnswer> {
    const endsAt = options.now() + requester.waitMs
    const backlogLimitMs = requester.mayRefer ? BACKLOG_LIMIT_MS : REFERRED_BACKLOG_LIMIT_MS
    for (;;) {
      const isHeld = wanted.some(pieces.has)
      if (isHeld && options.uplink.backlogMs() <= backlogLimitMs) return send(pieces.pickForPeer(wanted))
      const holders = isHeld ? listZoneNodes() : null
      if (holders !== null && !holders.has(requester.node)) return send(pieces.pickForPeer(wanted))
      const referral = holders !== null && requester.mayRefer ? pieces.refer(wanted, (node) => node !== requester.node && holders.has(node)) : null
      const leftMs = endsAt - options.now()
      if (referral !== null || leftMs <= 0) return referral
      if (isHeld) await types.delay(Math.min(leftMs, BACKLOG_POLL_MAXIMUM_MS, Math.max(BACKLOG_POLL_MINIMUM_MS, options.uplink.backlogMs() - backlogLimitMs)))
      else await pieces.waitForAny(wanted, leftMs)
    }
  }

  function listZoneNodes (): ReadonlySet<types.NodeId> {
    if (options.now() - zoneListedAt < ZONE_CACHE_MS) return zoneNodes
    zoneListedAt = options.now()
    zoneNodes = new Set(options.agents().filter((agent) => agent.zone === options.self.zone).map((agent) => agent.node))
    return zoneNodes
  }

  function send (picked: createPieceStore.PickedPiece | null): ProvidedPiece | null {
    return picked === null ? null : { piece: picked.piece, bytes: picked.bytes.length, slices: options.uplink.send(picked.bytes) }
  }

  async function providePiece (id: staging.VersionId, wanted: readonly number[], requester: PieceRequester): Promise<PieceAnswer> {
    if (id.model !== options.model) return null
    const isBeingFetched = options.isBeingFetched(id)
    const pieces = options.store.find(id)
    if (pieces !== null && (isBeingFetched || pieces.isWhole())) return await offer(pieces, wanted, requester)
    if (!isBeingFetched) return send(await readFromStage(id, wanted))
    await types.delay(UNAVAILABLE_PAUSE_MS)
    return null
  }

  return providePiece
}
