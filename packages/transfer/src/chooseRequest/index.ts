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
  readonly wanted: readonly number[]
  readonly peers: readonly transfer.PeerState[]
  /** Number of known holders by chunk. */
  readonly holders: ArrayLike<number>
  /** Fixed random number of this node by chunk; it breaks ties differently on each node. */
  readonly ties: ArrayLike<number>
  readonly policy: Pick<transfer.TransferPolicy, 'mayAsk' | 'prefersRare'>
  /** Monotonic time in milliseconds. */
  readonly now: number
  /** Requests that may be open at one peer. */
  readonly perPeer: number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/**
 * Chooses the next request.
 *
 * @param state - Chunks wanted and peers known.
 * @returns The request, or null while no known peer can give a wanted chunk.
 */
export function chooseRequest (state: ChoiceState): ChunkRequest | null {
  const able = state.peers.filter((peer) => peer.suspendedUntil <= state.now && peer.outstanding < state.perPeer)
  if (able.length === 0) return null
  let best: ChunkRequest | null = null
  let bestRank = Infinity
  for (const chunk of state.wanted) {
    const holders = state.holders[chunk] ?? 0
    if (holders === 0) continue
    const rank = (state.policy.prefersRare ? holders : 0) + (state.ties[chunk] ?? 0)
    if (rank >= bestRank) continue
    const peer = choosePeer(state, able, chunk)
    if (peer === null) continue
    best = { chunk, peer }
    bestRank = rank
  }
  return best
}

/** Takes the holder with the least work, counting what this node has open there itself. */
function choosePeer (state: ChoiceState, able: readonly transfer.PeerState[], chunk: number): transfer.PeerState | null {
  let best: transfer.PeerState | null = null
  let bestLoad = Infinity
  for (const peer of able) {
    if (!bitmaps.hasBit(peer.has, chunk) || !state.policy.mayAsk(peer, chunk)) continue
    const load = peer.backlog + 2 * peer.outstanding + state.random()
    if (load >= bestLoad) continue
    best = peer
    bestLoad = load
  }
  return best
}
