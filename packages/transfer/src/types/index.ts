/** Types shared by the modules of this package. */
import type * as types from '@switchridge/types'
import type * as bitmaps from '../_lib/bitmap.js'

/** Describes one version of weights. The table pins the digest of the manifest itself. */
export interface Manifest {
  /** Size of the whole file. */
  readonly bytes: number
  /** Size of a chunk; the last one may be shorter. */
  readonly chunkBytes: number
  /** SHA-256 of the whole file. */
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

/** What a downloading node knows about a peer. */
export interface PeerState extends Peer {
  /** Chunks that the peer is known to hold. */
  readonly has: bitmaps.Bitmap
  requestScope: RequestScope
  /** Open requests from this node to the peer. */
  outstanding: number
  /** Number of uploads, waiting or being sent, that the peer last reported. */
  backlog: number
  /** Monotonic time in milliseconds of that report. */
  backlogUpdatedAt: number
  /** Monotonic time in milliseconds until which no request is sent to the peer. */
  suspendedUntil: number
  /** Failures since the last valid chunk from the peer. */
  failures: number
}

/** Decides which node fetches which chunk from where. The swarm and the baselines differ only in their policy. */
export interface TransferPolicy {
  /** Whether chunks that few known peers hold are requested first. */
  readonly rarestFirst: boolean
  /** Monotonic time in milliseconds from which the chunk may be read from the origin; increases with the chunk's number. */
  readonly originReadAt: (chunk: number) => number
  /** Whether this node reads the chunk from the origin. */
  readonly readsOrigin: (chunk: number) => boolean
  /** Which chunks this node may request from a peer; `imported` means only those that it imports into its data hall. */
  readonly requestScopeOf: (peer: Peer) => RequestScope
  /** Whether this node imports the chunk into its data hall, from another hall or from the origin. */
  readonly isImporter: (chunk: number) => boolean
  /** Nodes that this node notifies as soon as it holds the chunk. */
  readonly findAnnounceTargets: (chunk: number) => readonly types.NodeId[]
  /** The node that should have provided the chunk by now, if this node is the next one to take over from it; otherwise null. */
  readonly findOverdueProvider: (chunk: number, now: number) => types.NodeId | null
  /** The node of this data hall that imports the chunk and can be queried for it; null when that is this node or the policy has none. */
  readonly findImporter: (chunk: number) => types.NodeId | null
  /** Makes this node the origin reader of a chunk that its provider does not deliver; returns false when the origin allowance forbids it. */
  readonly takeOver: (chunk: number, provider: types.NodeId) => boolean
  /** Gives up a chunk, so that the next node in order takes it over. */
  readonly release: (chunk: number) => void
}

/** Chunks that may be requested from a peer. */
export type RequestScope = 'everything' | 'imported' | 'nothing'

/**
 * State of a chunk at the node that should provide it. `reading`: it does not hold the chunk yet, but still expects to; `released`: it does not obtain
 * the chunk, so that the asking node may take it over; `unreachable`: it did not answer.
 */
export type ProviderAnswer = 'has' | 'reading' | 'released' | 'unreachable'
