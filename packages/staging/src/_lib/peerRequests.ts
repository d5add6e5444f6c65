/** Requests pieces from peers, limited to what the link carries. */
import * as types from '@switchridge/types'
import type * as createPieceStore from '../createPieceStore/index.js'
import type * as createReceiveWindow from '../createReceiveWindow/index.js'
import type * as staging from '../types/index.js'

/** A piece that a peer picked from the requested ones. */
export interface SentPiece {
  readonly piece: number
  readonly bytes: Buffer
}

/** Callbacks for an answer that is being received. */
export interface PieceReceiver {
  /** Called when the header of the answer has arrived. */
  readonly onHeaders: () => void
  readonly onBytes: (bytes: number) => void
}

/** Requests any one of the wanted pieces from a peer, which waits until it has one. Null when it has none or is busy. */
export type FetchFromPeer = (peer: staging.StagingPeer, id: staging.VersionId, wanted: readonly number[], mayRefer: boolean, receiver: PieceReceiver) => Promise<types.Outcome<SentPiece | createPieceStore.Referral | null, types.UnavailableError>>

/** Options of {@link createPeerRequests}. */
export interface PeerRequestOptions {
  readonly id: staging.VersionId
  readonly fetchFromPeer: FetchFromPeer
  readonly window: createReceiveWindow.ReceiveWindow
  readonly has: (piece: number) => boolean
  readonly findPeer: (node: types.NodeId) => staging.StagingPeer | undefined
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  readonly onPiece: (peer: staging.StagingPeer, sent: SentPiece) => void
  readonly onFailure: (peer: staging.StagingPeer, piece: number, error: types.UnavailableError) => void
  /** Called with a peer that takes far longer than others. */
  readonly onSlow: (node: types.NodeId) => void
  /** Called when a peer may be asked again, or a piece has arrived. */
  readonly onEnd: () => void
}

/** Requests to peers that are in progress. */
export interface PeerRequests {
  /** Requests any of the wanted pieces from a peer; call it only while {@link mayAsk} returns true. */
  readonly ask: (peer: staging.StagingPeer, wanted: readonly number[]) => void
  readonly mayAsk: (maximumAsked: number) => boolean
  /** Whether a request to a peer is in progress. */
  readonly isAsked: (node: types.NodeId) => boolean
  /** Reports peers that take far longer than others. */
  readonly reportSlowPeers: () => void
}

/** Number of referrals that are followed for one request. */
const REFERRALS_MAXIMUM = 2
/** Shortest pause after a failed request before its peer may be asked again. */
const FAILED_PAUSE_MS = 60
/** While fewer peers than this are asked, each of them gets two concurrent requests. */
const FEW_PEERS = 2
/** A peer that takes longer than this for one piece, and this many times longer than others, is treated as failed. */
const SLOW_MS = 1300
const SLOW_FACTOR = 4
/** Assumed duration of a request before any piece has arrived. */
const TYPICAL_INITIAL_MS = 1000
/** Weight of the latest piece in the moving average of durations. */
const TYPICAL_WEIGHT = 0.2

/**
 * Creates the requests of one version; none is sent.
 *
 * @param options - Peers, link and clock.
 * @returns The requests.
 */
export function createPeerRequests (options: PeerRequestOptions): PeerRequests {
  const askedPeers = new Set<types.NodeId>()
  /** Peers whose latest answer was a piece. */
  const recentProviders = new Set<types.NodeId>()
  const openRequests = new Set<{ readonly node: types.NodeId, readonly since: number }>()
  /** Exponential moving average of the time that peers took for a piece. */
  let typicalMs = TYPICAL_INITIAL_MS

  /** Sends two requests to a peer whose latest answer was a piece, since its uplink would otherwise be idle until the next request arrives. */
  async function askInParallel (peer: staging.StagingPeer, wanted: readonly number[]): Promise<void> {
    const isAskedTwice = recentProviders.has(peer.node) && askedPeers.size < FEW_PEERS && !options.window.isBounded()
    const half = isAskedTwice ? Math.floor(wanted.length / 2) : 0
    askedPeers.add(peer.node)
    await Promise.all([wanted.slice(0, half), wanted.slice(half)].map(async (part) => { if (part.length > 0) await askFollowingReferrals(peer, part) }))
    askedPeers.delete(peer.node)
    options.onEnd()
  }

  async function askFollowingReferrals (peer: staging.StagingPeer, wanted: readonly number[]): Promise<void> {
    let referral = await ask(peer, wanted, true)
    for (let followed = 1; referral !== null && followed <= REFERRALS_MAXIMUM; followed += 1) {
      referral = await followReferral(peer, referral, followed < REFERRALS_MAXIMUM)
    }
  }

  /** Asks the holder of a referral; one that this agent has excluded is not asked, and the referring peer is asked to send the piece itself. */
  async function followReferral (referrer: staging.StagingPeer, { piece, holder }: createPieceStore.Referral, mayRefer: boolean): Promise<createPieceStore.Referral | null> {
    if (options.has(piece)) return null
    const peer = options.findPeer(holder)
    return peer === undefined ? await ask(referrer, [piece], false) : await ask(peer, [piece], mayRefer)
  }

  /** Asks one peer and stores the piece that it sends; returns its referral to another peer, if any. */
  async function ask (peer: staging.StagingPeer, wanted: readonly number[], mayRefer: boolean): Promise<createPieceStore.Referral | null> {
    const open = { node: peer.node, since: options.now() }
    let endArrival = (): void => {}
    const endRequest = options.window.request()
    openRequests.add(open)
    const answered = await options.fetchFromPeer(peer, options.id, wanted, mayRefer, {
      onBytes: (bytes) => { options.window.recordBytes(peer.node, bytes) },
      onHeaders: () => { endArrival = options.window.beginArrival() }
    })
    openRequests.delete(open)
    endArrival()
    if (!answered.ok) {
      options.onFailure(peer, wanted[0] as number, answered.error)
      // Bytes of an aborted request may still be in transit.
      await types.delay(Math.max(FAILED_PAUSE_MS, options.window.queueMs()))
    }
    endRequest()
    if (!answered.ok) return null
    if (answered.value === null) recentProviders.delete(peer.node)
    if (answered.value === null || 'holder' in answered.value) return answered.value
    recentProviders.add(peer.node)
    typicalMs += (options.now() - open.since - typicalMs) * TYPICAL_WEIGHT
    options.onPiece(peer, answered.value)
    return null
  }

  return {
    ask: (peer, wanted) => { void askInParallel(peer, wanted) },
    mayAsk: (maximumAsked) => askedPeers.size < maximumAsked && options.window.hasRoom(),
    isAsked: (node) => askedPeers.has(node),
    reportSlowPeers: () => {
      const slowMs = Math.max(SLOW_MS, SLOW_FACTOR * typicalMs)
      for (const { node, since } of openRequests) if (options.now() - since >= slowMs) options.onSlow(node)
    }
  }
}
