/** Applies an edit to the table at the platform exactly once, even if responses are lost. */
import * as types from '@switchridge/types'
import type * as platform from '@switchridge/store'
import * as applyChanges from '../applyChanges/index.js'
import * as parseTable from '../parseTable/index.js'
import * as schema from '../_lib/schema.js'

export const TABLE_KIND = 'tables'
export const TABLE_NAME = 'current'
export const AUDIT_KIND = 'audit'

const REVISION_DIGITS = 12
const DEFAULT_ATTEMPTS = 20
/** Number of latest revisions that are searched for the edit id, to detect that an earlier attempt took effect. */
const EDIT_LOOKBACK_REVISIONS = 400
const DEFAULT_BACKOFF_MS = 50
const MAXIMUM_BACKOFF_MS = 2000
const DEFAULT_AUDIT_KEEP = 100_000

/** An edit prepared by an editor. */
export interface Edit {
  readonly editId: types.EditId
  readonly editor: string
  readonly changes: readonly types.CellChange[]
}

/** It is unknown whether the edit took effect; a retry with the same edit id is safe. */
export class EditUnknownError extends types.SwitchridgeError {}

export type EditFailure = applyChanges.EditConflictError | types.InvalidInputError | EditUnknownError

/** Options of {@link editTable}. */
export interface EditOptions {
  /** Maximum number of attempts. */
  readonly attempts?: number
  /** Base of the exponential backoff between attempts, in milliseconds. */
  readonly backoffMs?: number
  /** Lower bound that the new revision exceeds, for a platform restored from an old copy. */
  readonly revisionFloor?: number
  /** Number of audit entries kept; each edit removes at most one older entry. */
  readonly auditKeep?: number
  /** Random number from 0 to 1 for the jitter of the backoff. */
  readonly random?: () => number
  /** Additional validation of the new table before it is written. */
  readonly check?: (table: types.Table) => types.Outcome<null, types.InvalidInputError>
}

/** The table read from the platform, with the version of its object. */
export interface StoredTable {
  readonly table: types.Table
  /** Version of the object; null if it does not exist yet. */
  readonly version: number | null
}

type AttemptResult = { readonly done: types.Outcome<types.Table, EditFailure> } | { readonly retry: types.UnavailableError | types.ConflictError }

/**
 * Reads the table from the platform.
 *
 * @param store - The platform's object API.
 * @returns The table, or an empty one at revision 0 if none exists yet.
 */
export async function readTable (store: platform.ObjectStore): Promise<types.Outcome<StoredTable, types.UnavailableError | types.InvalidInputError>> {
  const found = await store.read(TABLE_KIND, TABLE_NAME)
  if (!found.ok && found.error instanceof types.UnavailableError) return types.fail(found.error)
  if (!found.ok) return types.succeed({ table: types.EMPTY_TABLE, version: null })
  const table = parseTable.parseTable(found.value.value)
  return table.ok ? types.succeed({ table: table.value, version: found.value.version }) : table
}

/**
 * Applies an edit to the table at the platform.
 *
 * The audit entry of the latest revision is stored inside the table object. The next edit copies it to the audit trail
 * before it writes the table, so every revision has its entry even if an editor crashes between the two writes.
 *
 * @param store - The platform's object API.
 * @param edit - The edit; its id makes retries idempotent.
 * @param options - Attempts, backoff, audit retention and validation.
 * @returns The table with the edit applied, or the reason for the failure.
 */
export async function editTable (store: platform.ObjectStore, edit: Edit, options: EditOptions = {}): Promise<types.Outcome<types.Table, EditFailure>> {
  const attempts = options.attempts ?? DEFAULT_ATTEMPTS
  const random = options.random ?? Math.random
  let lastProblem = ''
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    if (attempt > 0) await types.delay(computeBackoff(attempt, options.backoffMs ?? DEFAULT_BACKOFF_MS, random))
    const result = await attemptEdit(store, edit, options)
    if ('done' in result) return result.done
    lastProblem = result.retry.message
  }
  return types.fail(new EditUnknownError(`the platform did not confirm edit ${edit.editId}: ${lastProblem}`))
}

async function attemptEdit (store: platform.ObjectStore, edit: Edit, options: EditOptions): Promise<AttemptResult> {
  const stored = await readTable(store)
  if (!stored.ok) return stored.error instanceof types.InvalidInputError ? { done: types.fail(stored.error) } : { retry: stored.error }
  const { table, version } = stored.value
  if (table.lastEdit?.editId === edit.editId) return { done: types.succeed(table) }
  const saved = await saveLastAuditEntry(store, table)
  if (!saved.ok) return { retry: saved.error }
  const previous = await isEditInAuditTrail(store, edit, table.revision)
  if (!previous.ok) return { retry: previous.error }
  if (previous.value) return { done: types.succeed(table) }
  const next = prepareTable(table, edit, options)
  if (!next.ok) return { done: next }
  const written = await store.write(TABLE_KIND, TABLE_NAME, next.value, version === null ? { absent: true } : { version })
  if (!written.ok) return { retry: written.error }
  await removeOldEntry(store, next.value.revision - (options.auditKeep ?? DEFAULT_AUDIT_KEEP))
  return { done: types.succeed(next.value) }
}

function prepareTable (table: types.Table, edit: Edit, options: EditOptions): types.Outcome<types.Table, EditFailure> {
  const applied = applyChanges.applyChanges(table, edit.changes)
  if (!applied.ok) return applied
  const checked = options.check?.(applied.value) ?? types.succeed(null)
  if (!checked.ok) return checked
  const revision = Math.max(table.revision, options.revisionFloor ?? 0) + 1
  const lastEdit: types.AuditEntry = { revision, editId: edit.editId, editor: edit.editor, at: new Date().toISOString(), changes: edit.changes }
  return parseTable.parseTable({ ...applied.value, revision, lastEdit })
}

/** Copies the audit entry of the revision that is about to be replaced to the audit trail; an existing entry counts as success. */
async function saveLastAuditEntry (store: platform.ObjectStore, table: types.Table): Promise<types.Outcome<null, types.UnavailableError>> {
  if (table.lastEdit === null) return types.succeed(null)
  const written = await store.write(AUDIT_KIND, formatRevision(table.revision), table.lastEdit, { absent: true })
  if (!written.ok && written.error instanceof types.UnavailableError) return types.fail(written.error)
  return types.succeed(null)
}

/** Searches the latest audit entries for the edit, as an earlier attempt may have taken effect. */
async function isEditInAuditTrail (store: platform.ObjectStore, edit: Edit, revision: number): Promise<types.Outcome<boolean, types.UnavailableError>> {
  const from = formatRevision(Math.max(0, revision - EDIT_LOOKBACK_REVISIONS))
  const listed = await store.list(AUDIT_KIND, from, EDIT_LOOKBACK_REVISIONS + 1)
  if (!listed.ok) return listed
  const entries = listed.value.map((object) => schema.auditEntrySchema.safeParse(object.value))
  return types.succeed(entries.some((entry) => entry.success && entry.data.editId === edit.editId))
}

async function removeOldEntry (store: platform.ObjectStore, revision: number): Promise<void> {
  if (revision < 1) return
  const found = await store.read(AUDIT_KIND, formatRevision(revision))
  if (found.ok) await store.remove(AUDIT_KIND, found.value.name, found.value.version)
}

/** Formats a revision with leading zeros, so that names sort in numeric order. */
export function formatRevision (revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0')
}

function computeBackoff (attempt: number, baseMs: number, random: () => number): number {
  const ceiling = Math.min(MAXIMUM_BACKOFF_MS, baseMs * 2 ** attempt)
  return ceiling * random()
}
