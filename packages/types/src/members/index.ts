/** The membership record that each daemon publishes about itself. */
import type * as ids from '../ids/index.js'

/** IP address and port of a daemon. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** A version that a backend server can serve now. */
export interface ServedVersion {
  readonly row: ids.RowId
  readonly version: string
  readonly manifest: ids.Digest
}

export type MemberRole = 'entry' | 'backend'

/** Membership record of a daemon; it changes rarely. */
export interface MemberFacts {
  readonly node: ids.NodeId
  readonly role: MemberRole
  readonly dataHall: ids.DataHallId
  readonly region: ids.RegionId
  readonly address: Address
  readonly incarnation: ids.IncarnationId
  /** Incremented with each change of this record. */
  readonly factsVersion: number
  readonly state: 'live' | 'leaving'
  /** The service of the backend server on the daemon's node; null on an entry node. */
  readonly service: ids.ServiceName | null
  /** Capacity of the node for weights, in bytes. */
  readonly memoryBytes: number
  readonly serving: readonly ServedVersion[]
  /** Manifests of which the node holds at least one chunk. */
  readonly holding: readonly ids.Digest[]
  /** Why a copy placed on the node is not serving yet; empty when all are. */
  readonly waitingFor: string
  /** Revision of the table in force on the daemon. */
  readonly revision: number
}

/** Tells whether a membership record is newer than the known one of the same node. */
export function isNewerFacts (candidate: MemberFacts, known: MemberFacts | undefined): boolean {
  if (known === undefined) return true
  if (candidate.incarnation !== known.incarnation) return candidate.incarnation > known.incarnation
  return candidate.factsVersion > known.factsVersion
}
