/** Chooses the next chunk and the peer to ask for it. */
import * as bitmaps from '../_lib/bitmap.js'
import type * as transfer from '../types/index.js'

/** A request to make. */
export interface ChunkRequest {
  readonly chunk: number
  readonly peer: transfer.PeerState
}

/** What the choice depends on. */
export interface ChoiceState {
  /** Chunks that the node lacks and has not asked for. */
  readonly wanted: bitmaps.Bitmap
  /** Chunks that the node brings into its data hall. */
  readonly imported: bitmaps.Bitmap
  readonly peers: readonly transfer.PeerState[]
  /** Number of known holders by chunk. */
  readonly holders: ArrayLike<number>
  /** Fixed random number of this node by chunk, from 0 to 1; it breaks ties differently on each node. */
  readonly ties: ArrayLike<number>
  readonly prefersRare: boolean
  /** Monotonic time in milliseconds. */
  readonly now: number
  /** Requests that may be open at one peer. */
  readonly perPeer: number
  /** Milliseconds in which a peer works off one upload. */
  readonly uploadMs: number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

interface LoadedPeer {
  readonly peer: transfer.PeerState
  readonly load: number
}

/** Difference in load within which peers count as equally busy. */
const LOAD_TOLERANCE = 1

/**
 * Chooses the next request. The least busy peers come first, so that no uplink idles while another has a
 * queue; among what they hold the rarest chunk is taken, so that what few nodes hold spreads.
 *
 * @param state - Chunks wanted and peers known.
 * @returns The request, or null while no known peer can give a wanted chunk.
 */
export function chooseRequest (state: ChoiceState): ChunkRequest | null {
  const able = state.peers
    .filter((peer) => isAble(state, peer))
    .map((peer): LoadedPeer => ({ peer, load: estimateLoad(state, peer) }))
    .sort((left, right) => left.load - right.load)
  for (let first = 0; first < able.length;) {
    const limit = (able[first]?.load ?? 0) + LOAD_TOLERANCE
    let end = first
    while (end < able.length && (able[end]?.load ?? 0) <= limit) end += 1
    const group = able.slice(first, end).map(({ peer }) => peer)
    const chunk = chooseChunk(state, findAvailable(state, group))
    const peer = chunk === null ? null : choosePeer(state, group, chunk)
    if (chunk !== null && peer !== null) return { chunk, peer }
    first = end
  }
  return null
}

/** Uploads that wait at a peer now: its last word, less what it has worked off since, and what this node asked for. */
function estimateLoad (state: ChoiceState, peer: transfer.PeerState): number {
  const workedOff = state.uploadMs > 0 ? (state.now - peer.backlogAt) / state.uploadMs : 0
  return Math.max(0, peer.backlog - workedOff) + 2 * peer.outstanding + state.random() * LOAD_TOLERANCE
}

function isAble (state: ChoiceState, peer: transfer.PeerState): boolean {
  return peer.reach !== 'nothing' && peer.suspendedUntil <= state.now && peer.outstanding < state.perPeer
}

/** Wanted chunks that some able peer may be asked for. */
function findAvailable (state: ChoiceState, able: readonly transfer.PeerState[]): bitmaps.Bitmap {
  const available = new Uint8Array(state.wanted.length)
  for (const peer of able) {
    for (let byte = 0; byte < available.length; byte += 1) {
      const mask = peer.reach === 'everything' ? 0xff : state.imported[byte] ?? 0
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
      const rank = (state.prefersRare ? state.holders[chunk] ?? 0 : 0) + (state.ties[chunk] ?? 0)
      if (rank >= bestRank) continue
      best = chunk
      bestRank = rank
    }
  }
  return best
}

/** Takes the first holder; the peers are in order of their load. */
function choosePeer (state: ChoiceState, group: readonly transfer.PeerState[], chunk: number): transfer.PeerState | null {
  const isImported = bitmaps.hasBit(state.imported, chunk)
  return group.find((peer) => bitmaps.hasBit(peer.has, chunk) && (peer.reach === 'everything' || isImported)) ?? null
}
