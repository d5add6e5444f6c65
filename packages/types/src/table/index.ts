/** The operators' table: one row per model, adapter or version, with services and client accounts beside them. */
import type * as ids from '../ids/index.js'

/** What the row favours when time and origin bytes pull apart. */
export type Favour = 'time' | 'origin-bytes'

/** A model, adapter or version, and where it shall be. */
export interface ModelRow {
  readonly id: ids.RowId
  readonly kind: 'model' | 'adapter' | 'version'
  /** The row that an adapter needs on the same node. */
  readonly base: ids.RowId | null
  readonly service: ids.ServiceName
  /** The operator's name for the weights that `manifest` pins. */
  readonly version: string
  /** Path of the weights at the origin. */
  readonly source: string
  /** SHA-256 of the manifest; bytes that do not match it are never served. */
  readonly manifest: ids.Digest
  /** Size of the weights in bytes. */
  readonly bytes: number
  /** Where copies go, as in the cell: `all`, `4`, `hall-a=2 hall-b=1`, `node:name`. */
  readonly targets: string
  /** Rows with a higher number move first. */
  readonly priority: number
  /** Copies that may be read from the origin in one burst. */
  readonly originCopies: number
  /** Bytes a second that all nodes together may read from the origin for this row. */
  readonly originBytesPerSecond: number
  readonly favour: Favour
  /** Replicas that keep serving while the version changes. */
  readonly minimumServing: number
}

/** A service that callers reach by its name. */
export interface ServiceRow {
  readonly id: ids.ServiceName
  readonly kind: 'engine' | 'plain'
  /** Calls that one backend server runs at a time. */
  readonly concurrency: number
  /** Calls that wait at one backend server beyond those. */
  readonly queue: number
  /** Milliseconds that a call may take when the caller names no deadline. */
  readonly deadlineMs: number
  /** Calls that may be sent more than once: `all`, `reads` (GET and HEAD) or `none`. */
  readonly repeatable: 'all' | 'reads' | 'none'
  /** Extra attempts as a share of calls, 0.08 for eight in a hundred. */
  readonly retryBudget: number
}

/** A client account with its share of each service. */
export interface AccountRow {
  readonly id: ids.AccountId
  /** SHA-256 of the account's API key. */
  readonly keyDigest: ids.Digest
  /** Weight against other accounts when a service is full. */
  readonly share: number
  /** Calls a second over all entry nodes; 0 for no limit. */
  readonly callsPerSecond: number
  readonly priority: 'interactive' | 'batch'
}

/** A node that the operators take out of service. */
export interface NodeRow {
  readonly id: ids.NodeId
  readonly state: 'serving' | 'leaving'
}

/** One cell changed; null stands for a cell or row that is not there. */
export interface CellChange {
  readonly section: SectionName
  readonly row: string
  readonly column: string
  readonly before: CellValue
  readonly after: CellValue
}

export type CellValue = string | number | null
export type SectionName = 'models' | 'services' | 'accounts' | 'nodes'

/** An accepted edit, as the audit trail keeps it. */
export interface AuditEntry {
  readonly revision: number
  readonly editId: ids.EditId
  readonly editor: string
  /** ISO 8601 time of the editor's clock. */
  readonly at: string
  readonly changes: readonly CellChange[]
}

/** The whole table at one revision, with the edit that led to it. */
export interface Table {
  readonly revision: number
  readonly lastEdit: AuditEntry | null
  readonly models: readonly ModelRow[]
  readonly services: readonly ServiceRow[]
  readonly accounts: readonly AccountRow[]
  readonly nodes: readonly NodeRow[]
}

/** The table before the first edit. */
export const EMPTY_TABLE: Table = { revision: 0, lastEdit: null, models: [], services: [], accounts: [], nodes: [] }
