/** Writes an edit to the platform exactly once, whatever happens to the answers. */
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
/** Revisions back in which an edit looks for itself. */
const OWN_EDIT_WINDOW = 400
const DEFAULT_BACKOFF_MS = 50
const MAXIMUM_BACKOFF_MS = 2000
const DEFAULT_AUDIT_KEEP = 100_000

/** An edit as its editor prepared it. */
export interface Edit {
  readonly editId: types.EditId
  readonly editor: string
  readonly changes: readonly types.CellChange[]
}

/** Nobody can tell now whether the edit took effect; trying again with the same edit id is safe. */
export class EditUnknownError extends types.SwitchridgeError {}

export type EditFailure = applyChanges.EditConflictError | types.InvalidInputError | EditUnknownError

/** Options of {@link editTable}. */
export interface EditOptions {
  readonly attempts?: number
  readonly backoffMs?: number
  /** The new revision is above this one, for a platform restored from an old copy. */
  readonly revisionFloor?: number
  /** Audit entries kept; older ones are removed one by one. */
  readonly auditKeep?: number
  /** Random number from 0 to 1 for the backoff's jitter. */
  readonly random?: () => number
  /** Checks the new table before it is written. */
  readonly check?: (table: types.Table) => types.Outcome<null, types.InvalidInputError>
}

/** The table at the platform with the version of its object. */
export interface StoredTable {
  readonly table: types.Table
  /** Version of the object; null when there is none yet. */
  readonly version: number | null
}

type Step = { readonly done: types.Outcome<types.Table, EditFailure> } | { readonly retry: types.UnavailableError | types.ConflictError }

/**
 * Reads the table from the platform.
 *
 * @param store - The platform's object API.
 * @returns The table, empty at revision 0 when there is none yet.
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
 * The audit entry of a revision lies inside the table object until the next edit, which files it
 * before it writes; so no revision is ever without its entry, also when editors die between two writes.
 *
 * @param store - The platform's object API.
 * @param edit - The edit; its id makes a second try harmless.
 * @param options - Attempts, backoff and checks.
 * @returns The table with the edit in it, or why the edit is not in it.
 */
export async function editTable (store: platform.ObjectStore, edit: Edit, options: EditOptions = {}): Promise<types.Outcome<types.Table, EditFailure>> {
  const attempts = options.attempts ?? DEFAULT_ATTEMPTS
  const random = options.random ?? Math.random
  let lastProblem = ''
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    if (attempt > 0) await types.delay(computeBackoff(attempt, options.backoffMs ?? DEFAULT_BACKOFF_MS, random))
    const step = await tryEdit(store, edit, options)
    if ('done' in step) return step.done
    lastProblem = step.retry.message
  }
  return types.fail(new EditUnknownError(`the platform did not confirm edit ${edit.editId}: ${lastProblem}`))
}

async function tryEdit (store: platform.ObjectStore, edit: Edit, options: EditOptions): Promise<Step> {
  const stored = await readTable(store)
  if (!stored.ok) return stored.error instanceof types.InvalidInputError ? { done: types.fail(stored.error) } : { retry: stored.error }
  const { table, version } = stored.value
  if (table.lastEdit?.editId === edit.editId) return { done: types.succeed(table) }
  const filed = await fileLastEdit(store, table)
  if (!filed.ok) return { retry: filed.error }
  const earlier = await findEdit(store, edit, table.revision)
  if (!earlier.ok) return { retry: earlier.error }
  if (earlier.value) return { done: types.succeed(table) }
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

/** Files the entry of the revision that is about to be replaced; its presence already is success. */
async function fileLastEdit (store: platform.ObjectStore, table: types.Table): Promise<types.Outcome<null, types.UnavailableError>> {
  if (table.lastEdit === null) return types.succeed(null)
  const written = await store.write(AUDIT_KIND, formatRevision(table.revision), table.lastEdit, { absent: true })
  if (!written.ok && written.error instanceof types.UnavailableError) return types.fail(written.error)
  return types.succeed(null)
}

/** Looks for the edit among the newest entries filed: an earlier try may have taken effect. */
async function findEdit (store: platform.ObjectStore, edit: Edit, revision: number): Promise<types.Outcome<boolean, types.UnavailableError>> {
  const from = formatRevision(Math.max(0, revision - OWN_EDIT_WINDOW))
  const listed = await store.list(AUDIT_KIND, from, OWN_EDIT_WINDOW + 1)
  if (!listed.ok) return listed
  const entries = listed.value.map((object) => schema.auditEntrySchema.safeParse(object.value))
  return types.succeed(entries.some((entry) => entry.success && entry.data.editId === edit.editId))
}

async function removeOldEntry (store: platform.ObjectStore, revision: number): Promise<void> {
  if (revision < 1) return
  const found = await store.read(AUDIT_KIND, formatRevision(revision))
  if (found.ok) await store.remove(AUDIT_KIND, found.value.name, found.value.version)
}

/** Writes a revision so that names sort like numbers. */
export function formatRevision (revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0')
}

function computeBackoff (attempt: number, baseMs: number, random: () => number): number {
  const ceiling = Math.min(MAXIMUM_BACKOFF_MS, baseMs * 2 ** attempt)
  return ceiling * random()
}
