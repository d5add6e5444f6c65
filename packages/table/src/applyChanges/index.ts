/** Applies cell changes to a table, or reports where another edit came first. */
import * as types from '@switchridge/types'
import * as parseTable from '../parseTable/index.js'
import * as sections from '../_lib/sections.js'

/** One cell that two edits changed. */
export interface CellConflict {
  readonly place: string
  readonly read: types.CellValue
  readonly found: types.CellValue
  readonly wanted: types.CellValue
}

/** Another edit changed the same cells after they were read. */
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
 * Applies changes. A row comes into being with its `id` cell and goes with it.
 *
 * @param table - The table as it is now.
 * @param changes - Cells with the value that the editor read and the value that it wants.
 * @returns The new table with the same revision, the conflicts, or the cells that break a rule.
 * @example
 * applyChanges(table, [{ section: 'models', row: 'asistent', column: 'version', before: '1', after: '2' }])
 */
export function applyChanges (table: types.Table, changes: readonly types.CellChange[]): types.Outcome<types.Table, EditConflictError | types.InvalidInputError> {
  const draft = createDraft(table)
  const conflicts = changes.map((change) => applyChange(draft, change)).filter((conflict) => conflict !== null)
  if (conflicts.length > 0) return types.fail(new EditConflictError(conflicts))
  const rows = Object.fromEntries(sections.SECTIONS.map((section) => [section, [...draft[section].values()]]))
  return parseTable.parseTable({ revision: table.revision, lastEdit: table.lastEdit, ...rows })
}

function createDraft (table: types.Table): Draft {
  const rowsOf = (section: types.SectionName): Rows => new Map(sections.readCells(table, section).map((row) => [String(row['id']), { ...row }]))
  return { models: rowsOf('models'), services: rowsOf('services'), accounts: rowsOf('accounts'), nodes: rowsOf('nodes') }
}

function applyChange (draft: Draft, change: types.CellChange): CellConflict | null {
  const rows = draft[change.section]
  const row = rows.get(change.row)
  const found = row?.[change.column] ?? null
  if (found === change.after) return null
  const rowIsGone = row === undefined && change.column !== 'id'
  if (found !== change.before || rowIsGone) {
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
