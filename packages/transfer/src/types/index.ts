/** Shapes of a transfer. */
import type * as types from '@switchridge/types'
import type * as bitmaps from '../_lib/bitmap.js'

/** Describes one version of weights; its own digest is pinned by the table. */
export interface Manifest {
  readonly bytes: number
  readonly chunkBytes: number
  /** SHA-256 of all bytes in order. */
  readonly fileDigest: types.Digest
  /** SHA-256 of each chunk in order. */
  readonly chunks: readonly types.Digest[]
}

/** A node that takes part in the transfer of a version. */
export interface Peer {
  readonly node: types.NodeId
  readonly dataHall: types.DataHallId
  readonly address: types.Address
}

/** What a downloading node knows of a peer. */
export interface PeerState extends Peer {
  readonly has: bitmaps.Bitmap
  requestScope: RequestScope
  /** Requests that this node has open at the peer. */
  outstanding: number
  /** Uploads that the peer last said to have waiting. */
  backlog: number
  /** Monotonic time in milliseconds of that word. */
  backlogUpdatedAt: number
  /** Monotonic time in milliseconds until which the peer is not asked. */
  suspendedUntil: number
  failures: number
}

/** Who may fetch which chunk from whom; the swarm and the baselines differ only in this. */
export interface TransferPolicy {
  /** Whether chunks that few known peers hold go first. */
  readonly prefersRare: boolean
  /** Monotonic time in milliseconds at which the chunk may leave the origin; rises with the chunk's number. */
  readonly originReadAt: (chunk: number) => number
  /** Whether this node is the one that reads the chunk from the origin. */
  readonly readsOrigin: (chunk: number) => boolean
  /** Which chunks this node may ask a peer for; `imported` are those that it brings into its data hall. */
  readonly requestScopeOf: (peer: Peer) => RequestScope
  /** Whether this node brings the chunk into its data hall. */
  readonly isImporter: (chunk: number) => boolean
  /** Nodes told at once when this node has obtained the chunk. */
  readonly findAnnounceTargets: (chunk: number) => readonly types.NodeId[]
  /** The node that should have provided the chunk by now, if it is this node's turn to take over from it. */
  readonly findOverdueProvider: (chunk: number, now: number) => types.NodeId | null
  /** The node of this hall that any other one may ask for the chunk; null when that is this node itself. */
  readonly findImporter: (chunk: number) => types.NodeId | null
  /** Makes this node the reader of a chunk that its provider gave up; false when the allowance forbids it. */
  readonly takeOver: (chunk: number, provider: types.NodeId) => boolean
  /** Gives a chunk up to the next node in order. */
  readonly release: (chunk: number) => void
}

export type RequestScope = 'everything' | 'imported' | 'nothing'

/** What became of a chunk at the node that should provide it. */
export type ProviderAnswer = 'has' | 'reading' | 'released' | 'unreachable'
