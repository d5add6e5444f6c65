/** The state that a daemon announces about itself. */
import type * as store from '@switchridge/store'
import type * as types from '@switchridge/types'

/** A version of a model that was announced lately, with the milliseconds since it was first heard of. */
export interface RecentVersion {
  readonly model: string
  readonly version: number
  readonly ageMs: number
}

/** States of store copies, by kind of object. */
export type CopyStates = Readonly<Record<string, store.MirrorState>>

/** The state that a daemon sends in each heartbeat. */
export interface Heartbeat {
  readonly node: types.NodeId
  readonly role: 'gateway' | 'agent'
  /** Data hall of the daemon. */
  readonly zone: string
  /** Address of the daemon, by which others identify it. */
  readonly host: string
  /** Whether the daemon is leaving and takes no new work. */
  readonly isLeaving: boolean
  /** Whether the store did not answer its last calls. */
  readonly isStoreLost: boolean
  /** States of its copies, by kind of object; of a member of another hall, only the kinds that its hall announces under its host. */
  readonly copies: CopyStates
  /** Versions of models announced lately. */
  readonly versions: readonly RecentVersion[]
  /** Peers whose requests failed or were slow lately. */
  readonly suspects: readonly string[]
  /** The agent's report of its engine; null on a gateway. */
  readonly engine: unknown
}

/** Another daemon. */
export interface Peer {
  readonly heartbeat: Heartbeat
  /** Monotonic time in milliseconds at which the peer was last known to be live. */
  readonly heardAt: number
}
