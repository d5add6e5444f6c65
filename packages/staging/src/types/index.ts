/** Shapes of the distribution of weights into the stages of engines. */
import type * as types from '@switchridge/types'

/** One version of a model's weights. */
export interface VersionId {
  readonly model: string
  readonly version: number
}

/** Digests of the pieces of one version, in order. */
export interface StageManifest {
  readonly id: VersionId
  readonly digests: readonly types.Digest[]
}

/** A version that the operators named. */
export interface NamedVersion {
  readonly id: VersionId
  /** Monotonic time in milliseconds at which this process heard of it. */
  readonly heardAt: number
  /** Monotonic time in milliseconds after which nothing may begin on an older version. */
  readonly boundAt: number
}

/** An agent that takes part. */
export interface StagingPeer {
  readonly node: types.NodeId
  readonly zone: string
  readonly address: types.Address
}

/** What an engine does with running calls when it changes its version: end them first, or break them off. */
export type SwitchMethod = 'finish' | 'break-off'

/** How an engine's order was taken. */
export type OrderOutcome = 'begun' | 'done' | 'refused' | 'unknown'

/** What an agent reads of the engine beside it. */
export interface EngineState {
  /** When its life began, in Unix milliseconds of its own clock; null when it does not tell. */
  readonly bornAt: number | null
  /** Version of which the engine holds every layer, 0 for none. */
  readonly held: number
  readonly running: number
  /** Calls that wait there and have not begun. */
  readonly waiting: number
  readonly isBusy: boolean
  readonly sequence: number
}

/** The engine beside an agent, as the adapter of a platform reaches it. */
export interface StagedEngine {
  readonly putPiece: (model: string, piece: number, bytes: Buffer) => Promise<types.Outcome<null, types.UnavailableError>>
  /** The bytes that lie in the stage, or null when there are none. */
  readonly getPiece: (model: string, piece: number) => Promise<types.Outcome<Buffer | null, types.UnavailableError>>
  /**
   * Orders the engine to take the staged version; `method` tells what happens to what runs there, and `sequence` is
   * the order count that the engine last told.
   */
  readonly start: (id: VersionId, sequence: number, method: SwitchMethod) => Promise<OrderOutcome>
}

/** The origin of weights. */
export interface WeightOrigin {
  readonly readManifest: (id: VersionId) => Promise<types.Outcome<readonly types.Digest[], types.UnavailableError>>
  readonly readPiece: (id: VersionId, piece: number) => Promise<types.Outcome<Buffer, types.UnavailableError>>
}

/** Formats a version for keys and logs. */
export function formatVersion (id: VersionId): string {
  return `${id.model}/${id.version}`
}
