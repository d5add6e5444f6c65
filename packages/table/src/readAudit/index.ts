/** Reads the audit trail of edits. */
import * as types from '@switchridge/types'
import type * as platform from '@switchridge/store'
import * as editTable from '../editTable/index.js'
import * as schema from '../_lib/schema.js'

const PAGE_SIZE = 500

/**
 * Reads the audit entries from a revision on, with the newest one, which is stored inside the table.
 *
 * @param store - The platform's object API.
 * @param fromRevision - First revision to return.
 * @returns The entries in ascending order of revision.
 * @throws If a stored entry does not match the schema.
 */
export async function readAudit (store: platform.ObjectStore, fromRevision: number): Promise<types.Outcome<readonly types.AuditEntry[], types.UnavailableError | types.InvalidInputError>> {
  const current = await editTable.readTable(store)
  if (!current.ok) return current
  const entries: types.AuditEntry[] = []
  let from = editTable.formatRevision(fromRevision)
  for (;;) {
    const listed = await store.list(editTable.AUDIT_KIND, from, PAGE_SIZE)
    if (!listed.ok) return listed
    entries.push(...listed.value.map((object) => schema.auditEntrySchema.parse(object.value) as unknown as types.AuditEntry))
    const last = listed.value.at(-1)
    if (last === undefined || listed.value.length < PAGE_SIZE) break
    from = editTable.formatRevision(Number(last.name) + 1)
  }
  const newest = current.value.table.lastEdit
  const isNewestUnlisted = newest !== null && newest.revision >= fromRevision && entries.at(-1)?.revision !== newest.revision
  return types.succeed(isNewestUnlisted ? [...entries, newest] : entries)
}
