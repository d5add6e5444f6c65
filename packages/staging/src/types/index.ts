/** Types of the distribution of weights to the stages of engines; a stage is the storage in which an engine receives the pieces of its next version. */
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

/** A version that operators have named as the next one to serve. */
export interface NamedVersion {
  readonly id: VersionId
  /** Monotonic time in milliseconds at which it was named, as far as this process knows. */
  readonly namedAt: number
  /** The version's deadline: monotonic time in milliseconds after which no call may begin on an older version. */
  readonly deadlineAt: number
}

/** An agent that takes part in the distribution. */
export interface StagingPeer {
  readonly node: types.NodeId
  readonly zone: string
  readonly address: types.Address
}

/** What an engine does with running calls when it changes its version: complete them first, or abort them. */
export type SwitchMethod = 'finish' | 'break-off'

/** Result of an order to change the version, as far as the engine reported it; `unsent` when nothing of it left this process, `unknown` when the engine did not answer. */
export type OrderOutcome = 'begun' | 'done' | 'refused' | 'unsent' | 'unknown'

/** Contiguous range of a model's layers. */
export interface LayerRange {
  readonly from: number
  /** Number of the first layer after the range. */
  readonly to: number
}

/** Layers of one version that an engine holds. */
export interface HeldLayers extends LayerRange {
  readonly version: number
}

/** An order to load layers of the staged version. */
export interface LoadOrder {
  readonly id: VersionId
  /** Order count that the engine last reported. */
  readonly sequence: number
  /** What happens to running calls. */
  readonly method: SwitchMethod
  /** Layers that the engine holds afterwards: it keeps those that it has, and takes the others from its stage at the moment at which it takes the order. Null for all. */
  readonly layers: LayerRange | null
  /** Asked right before the order is written to its open connection; false withdraws it. */
  readonly mayStillSend: () => boolean
}

/** State of an agent's engine. */
export interface EngineState {
  /** Start time of the engine process, in Unix milliseconds of the engine's own clock; null when it does not report it. */
  readonly bornAt: number | null
  /** Version of which the engine holds every layer, 0 for none. */
  readonly held: number
  readonly running: number
  /** Calls that are queued at the engine. */
  readonly waiting: number
  /** Whether the engine is carrying out an order. */
  readonly isBusy: boolean
  /** Whether the engine is about to end; it gets no new weights. */
  readonly isLeaving: boolean
  /** Number of orders that this engine process has accepted. */
  readonly sequence: number
  /** Layers that it holds, of a version that may be incomplete; null for none, or where models are not divided into layers. */
  readonly layers: HeldLayers | null
  /** Number of layers of the model; 1 where models are not divided into layers. */
  readonly layerCount: number
}

/** An agent's engine, as the adapter of a platform accesses it. */
export interface StagedEngine {
  readonly putPiece: (model: string, piece: number, bytes: Buffer) => Promise<types.Outcome<null, types.UnavailableError>>
  /** The bytes of the piece in the stage, or null when there are none. */
  readonly getPiece: (model: string, piece: number) => Promise<types.Outcome<Buffer | null, types.UnavailableError>>
  /** Orders the engine to load layers of the staged version. */
  readonly start: (order: LoadOrder) => Promise<OrderOutcome>
  /** Orders the engine to unload the version that it holds once its running calls are complete; it begins no further call on it. */
  readonly unload: (id: VersionId, sequence: number) => Promise<OrderOutcome>
}

/** The server from which weights are first read. */
export interface WeightOrigin {
  readonly readManifest: (id: VersionId) => Promise<types.Outcome<readonly types.Digest[], types.UnavailableError>>
  /** Aborts the read when no byte has arrived after `firstByteTimeoutMs`, or after the default of the origin's adapter. */
  readonly readPiece: (id: VersionId, piece: number, firstByteTimeoutMs?: number) => Promise<types.Outcome<Buffer, types.UnavailableError>>
}

export function formatVersion (id: VersionId): string {
  return `${id.model}/${id.version}`
}
