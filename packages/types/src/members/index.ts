/** What daemons tell each other about themselves. */
import type * as ids from '../ids/index.js'

/** An address of a daemon, by IP number. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** A version that a backend server may serve now. */
export interface ServedVersion {
  readonly row: ids.RowId
  readonly version: string
  readonly manifest: ids.Digest
}

export type MemberRole = 'entry' | 'backend'

/** Facts that a daemon states about itself; they change seldom. */
export interface MemberFacts {
  readonly node: ids.NodeId
  readonly role: MemberRole
  readonly dataHall: ids.DataHallId
  readonly region: ids.RegionId
  readonly address: Address
  readonly incarnation: ids.IncarnationId
  /** Rises by one with each change of these facts. */
  readonly factsVersion: number
  readonly state: 'live' | 'leaving'
  /** The service of the backend server beside the daemon; null on an entry node. */
  readonly service: ids.ServiceName | null
  /** Bytes of weights that the node can hold. */
  readonly memoryBytes: number
  readonly serving: readonly ServedVersion[]
  /** Manifests of which the node holds at least one chunk. */
  readonly holding: readonly ids.Digest[]
  /** Why a placed copy does not serve yet; empty when all do. */
  readonly waitingFor: string
  /** Revision of the table in force on the daemon. */
  readonly revision: number
}

/** Compares two statements of one node and tells whether the first is newer. */
export function isNewerFacts (candidate: MemberFacts, known: MemberFacts | undefined): boolean {
  if (known === undefined) return true
  if (candidate.incarnation !== known.incarnation) return candidate.incarnation > known.incarnation
  return candidate.factsVersion > known.factsVersion
}
