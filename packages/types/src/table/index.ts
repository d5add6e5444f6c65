/** The operators' configuration table: models, adapters and versions, services, client accounts and nodes. */
import type * as ids from '../ids/index.js'

/** Which goal transfers of a row prefer when completion time and bytes read from the origin conflict. */
export type TransferPreference = 'time' | 'origin-bytes'

/** A model, adapter or version, and the nodes that should hold it. */
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
  /** SHA-256 of the manifest; weights that do not match it are never served. */
  readonly manifest: ids.Digest
  /** Size of the weights in bytes. */
  readonly bytes: number
  /** Where copies are placed, as written in the cell: `all`, `4`, `hall-a=2 hall-b=1`, `node:name`. */
  readonly targets: string
  /** Rows with a higher number are transferred first. */
  readonly priority: number
  /** Number of copies that may be read from the origin in one burst. */
  readonly originCopies: number
  /** Bytes per second that all nodes together may read from the origin for this row. */
  readonly originBytesPerSecond: number
  readonly favour: TransferPreference
  /** Replicas that must keep serving while the version changes. */
  readonly minimumServing: number
}

/** A service that callers reach by its name. */
export interface ServiceRow {
  readonly id: ids.ServiceName
  readonly kind: 'engine' | 'plain'
  /** Calls that one backend server runs concurrently. */
  readonly concurrency: number
  /** Calls that may be queued at one backend server beyond those. */
  readonly queue: number
  /** Deadline in milliseconds of a call whose caller names none. */
  readonly deadlineMs: number
  /** Calls that may be sent more than once: `all`, `reads` (GET and HEAD) or `none`. */
  readonly repeatable: 'all' | 'reads' | 'none'
  /** Retries allowed as a fraction of calls; 0.08 is eight retries per hundred calls. */
  readonly retryBudget: number
}

/** A client account with its limits and its share of each service. */
export interface AccountRow {
  readonly id: ids.AccountId
  /** SHA-256 of the account's API key. */
  readonly keyDigest: ids.Digest
  /** Weight relative to other accounts when a service is at capacity. */
  readonly share: number
  /** Calls per second over all entry nodes; 0 for no limit. */
  readonly callsPerSecond: number
  readonly priority: 'interactive' | 'batch'
}

/** A node with its state set by the operators, such as to take it out of service. */
export interface NodeRow {
  readonly id: ids.NodeId
  readonly state: 'serving' | 'leaving'
}

/** A change of one cell; null stands for a cell or row that does not exist. */
export interface CellChange {
  readonly section: SectionName
  readonly row: string
  readonly column: string
  readonly before: CellValue
  readonly after: CellValue
}

export type CellValue = string | number | null
export type SectionName = 'models' | 'services' | 'accounts' | 'nodes'

/** An accepted edit as recorded in the audit trail. */
export interface AuditEntry {
  readonly revision: number
  readonly editId: ids.EditId
  readonly editor: string
  /** Time by the editor's clock, in ISO 8601. */
  readonly at: string
  readonly changes: readonly CellChange[]
}

/** The whole table at one revision, with the edit that created the revision. */
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
