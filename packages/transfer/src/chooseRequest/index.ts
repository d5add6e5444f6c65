/** Chooses the next chunk to request and the peer to request it from. */
import * as bitmaps from '../_lib/bitmap.js'
import type * as transfer from '../types/index.js'

/** A request to send. */
export interface ChunkRequest {
  readonly chunk: number
  readonly peer: transfer.PeerState
}

/** Inputs of the choice. */
export interface ChoiceState {
  /** Chunks that the node neither holds nor has requested. */
  readonly wanted: bitmaps.Bitmap
  /** Chunks that the node imports into its data hall. */
  readonly imported: bitmaps.Bitmap
  readonly peers: readonly transfer.PeerState[]
  /** Number of known holders of each chunk. */
  readonly holders: ArrayLike<number>
  /** Fixed random number for each chunk, from 0 to 1, so that each node breaks ties differently. */
  readonly tieBreakers: ArrayLike<number>
  /** Whether chunks with few known holders are requested first. */
  readonly rarestFirst: boolean
  /** Monotonic time in milliseconds. */
  readonly now: number
  /** Maximum number of open requests to one peer. */
  readonly requestsPerPeer: number
  /** Estimated milliseconds that a peer needs for one upload; 0 when unknown. */
  readonly uploadMs: number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

interface LoadedPeer {
  readonly peer: transfer.PeerState
  readonly load: number
}

/** Difference in load, in uploads, within which peers count as equally loaded. */
const LOAD_TOLERANCE = 1

/**
 * Chooses the next request. The least loaded peers come first, so that no uplink is idle while another has a
 * queue; of the chunks that they hold, the rarest is taken, so that chunks with few holders spread.
 *
 * @param state - Wanted chunks and known peers.
 * @returns The request, or null while no available peer holds a wanted chunk.
 */
export function chooseRequest (state: ChoiceState): ChunkRequest | null {
  const candidates = state.peers
    .filter((peer) => canRequestFrom(state, peer))
    .map((peer): LoadedPeer => ({ peer, load: estimateLoad(state, peer) }))
    .sort((left, right) => left.load - right.load)
  for (let first = 0; first < candidates.length;) {
    const limit = (candidates[first]?.load ?? 0) + LOAD_TOLERANCE
    let end = first
    while (end < candidates.length && (candidates[end]?.load ?? 0) <= limit) end += 1
    const equallyLoaded = candidates.slice(first, end).map(({ peer }) => peer)
    const chunk = chooseChunk(state, findAvailableChunks(state, equallyLoaded))
    const peer = chunk === null ? null : choosePeer(state, equallyLoaded, chunk)
    if (chunk !== null && peer !== null) return { chunk, peer }
    first = end
  }
  return null
}

/**
 * Estimates the load of a peer in uploads: the reported backlog, less the uploads completed since, plus two for each open request of this node. A random
 * part of up to {@link LOAD_TOLERANCE} varies the order of equally loaded peers.
 */
function estimateLoad (state: ChoiceState, peer: transfer.PeerState): number {
  const completedSince = state.uploadMs > 0 ? (state.now - peer.backlogUpdatedAt) / state.uploadMs : 0
  return Math.max(0, peer.backlog - completedSince) + 2 * peer.outstanding + state.random() * LOAD_TOLERANCE
}

function canRequestFrom (state: ChoiceState, peer: transfer.PeerState): boolean {
  return peer.requestScope !== 'nothing' && peer.suspendedUntil <= state.now && peer.outstanding < state.requestsPerPeer
}

/** Finds the wanted chunks that may be requested from at least one of the peers. */
function findAvailableChunks (state: ChoiceState, peers: readonly transfer.PeerState[]): bitmaps.Bitmap {
  const available = new Uint8Array(state.wanted.length)
  for (const peer of peers) {
    for (let byte = 0; byte < available.length; byte += 1) {
      const mask = peer.requestScope === 'everything' ? 0xff : state.imported[byte] ?? 0
      available[byte] = (available[byte] ?? 0) | ((peer.has[byte] ?? 0) & mask)
    }
  }
  for (let byte = 0; byte < available.length; byte += 1) available[byte] = (available[byte] ?? 0) & (state.wanted[byte] ?? 0)
  return available
}

function chooseChunk (state: ChoiceState, available: bitmaps.Bitmap): number | null {
  let best: number | null = null
  let bestRank = Infinity
  for (let byte = 0; byte < available.length; byte += 1) {
    if (available[byte] === 0) continue
    for (let chunk = byte * 8; chunk < byte * 8 + 8; chunk += 1) {
      if (!bitmaps.hasBit(available, chunk)) continue
      const rank = (state.rarestFirst ? state.holders[chunk] ?? 0 : 0) + (state.tieBreakers[chunk] ?? 0)
      if (rank >= bestRank) continue
      best = chunk
      bestRank = rank
    }
  }
  return best
}

/** Takes the first holder of the chunk; the peers are sorted by load. */
function choosePeer (state: ChoiceState, peers: readonly transfer.PeerState[], chunk: number): transfer.PeerState | null {
  const isImported = bitmaps.hasBit(state.imported, chunk)
  return peers.find((peer) => bitmaps.hasBit(peer.has, chunk) && (peer.requestScope === 'everything' || isImported)) ?? null
}
