/** Applies cell changes to a table, or reports conflicts with concurrent edits. */
import * as types from '@switchridge/types'
import * as parseTable from '../parseTable/index.js'
import * as sections from '../_lib/sections.js'

/** A cell that another edit has changed: `read` is the value that the editor read, `found` the current one, `wanted` the one to be written. */
export interface CellConflict {
  readonly place: string
  readonly read: types.CellValue
  readonly found: types.CellValue
  readonly wanted: types.CellValue
}

/** Another edit has changed the same cells since they were read. */
export class EditConflictError extends types.SwitchridgeError {
  readonly conflicts: readonly CellConflict[]

  constructor (conflicts: readonly CellConflict[]) {
    super(conflicts.map(describeConflict).join('; '))
    this.conflicts = conflicts
  }
}

function describeConflict (conflict: CellConflict): string {
  return `${conflict.place}: you read ${JSON.stringify(conflict.read)} and want ${JSON.stringify(conflict.wanted)}, another edit wrote ${JSON.stringify(conflict.found)}`
}

type Rows = Map<string, Record<string, types.CellValue>>
type Draft = Record<types.SectionName, Rows>

/**
 * Applies cell changes. Setting the `id` cell creates a row, clearing it removes the row.
 *
 * @param table - The current table.
 * @param changes - Cells with the value that the editor read and the new value.
 * @returns The new table with the same revision, the conflicts, or the invalid cells.
 * @example
 * applyChanges(table, [{ section: 'models', row: 'assistant', column: 'version', before: '1', after: '2' }])
 */
export function applyChanges (table: types.Table, changes: readonly types.CellChange[]): types.Outcome<types.Table, EditConflictError | types.InvalidInputError> {
  const draft = createDraft(table)
  const conflicts = changes.map((change) => applyChange(draft, change)).filter((conflict) => conflict !== null)
  if (conflicts.length > 0) return types.fail(new EditConflictError(conflicts))
  const rows = Object.fromEntries(sections.SECTIONS.map((section) => [section, [...draft[section].values()]]))
  return parseTable.parseTable({ revision: table.revision, lastEdit: table.lastEdit, ...rows })
}

function createDraft (table: types.Table): Draft {
  const copyRows = (section: types.SectionName): Rows => new Map(sections.readCells(table, section).map((row) => [String(row['id']), { ...row }]))
  return { models: copyRows('models'), services: copyRows('services'), accounts: copyRows('accounts'), nodes: copyRows('nodes') }
}

function applyChange (draft: Draft, change: types.CellChange): CellConflict | null {
  const rows = draft[change.section]
  const row = rows.get(change.row)
  const found = row?.[change.column] ?? null
  if (found === change.after) return null
  const isRowMissing = row === undefined && change.column !== 'id'
  if (found !== change.before || isRowMissing) {
    return { place: sections.formatPlace(change.section, change.row, change.column), read: change.before, found, wanted: change.after }
  }
  if (change.column === 'id') {
    setRow(rows, change)
  } else if (row !== undefined) {
    setCell(row, change)
  }
  return null
}

function setRow (rows: Rows, change: types.CellChange): void {
  if (change.after === null) rows.delete(change.row)
  else rows.set(change.row, { id: change.after })
}

function setCell (row: Record<string, types.CellValue>, change: types.CellChange): void {
  if (change.after === null) delete row[change.column]
  else row[change.column] = change.after
}
