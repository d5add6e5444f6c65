/** Parses what an operator types: a row such as `model/assistant` and assignments `column=value`. */
import * as types from '@switchridge/types'
import * as sections from '../_lib/sections.js'
import * as schema from '../_lib/schema.js'

/** Section and id of a row. */
export interface RowReference {
  readonly section: types.SectionName
  readonly row: string
}

const ROW_FORMS = 'model/ID, service/ID, account/ID or node/ID'

/**
 * Parses a reference to a row.
 *
 * @param text - For example `model/assistant`.
 * @returns Section and id of the row, or what is allowed.
 */
export function parseRowReference (text: string): types.Outcome<RowReference, types.InvalidInputError> {
  const [sectionName = '', row = '', ...rest] = text.split('/')
  const section = sections.findSection(sectionName)
  if (section === undefined || row === '' || rest.length > 0) return invalid({ place: 'row', given: JSON.stringify(text), allowed: ROW_FORMS })
  return types.succeed({ section, row })
}

/**
 * Converts assignments to cell changes relative to the table as read.
 *
 * @param table - The table as read.
 * @param reference - The row.
 * @param assignments - Assignments `column=value`; an empty value clears the cell.
 * @returns The changes that differ from the table, or the invalid assignments.
 * @example
 * parseAssignments(table, { section: 'models', row: 'assistant' }, ['priority=5', 'targets=all'])
 */
export function parseAssignments (table: types.Table, reference: RowReference, assignments: readonly string[]): types.Outcome<readonly types.CellChange[], types.InvalidInputError> {
  const columns = Object.keys(schema.ROW_SCHEMAS[reference.section].shape)
  const current = sections.readCells(table, reference.section).find((row) => row['id'] === reference.row)
  const problems: types.InputProblem[] = []
  const changes: types.CellChange[] = []
  if (current === undefined) changes.push({ ...reference, column: 'id', before: null, after: reference.row })
  for (const assignment of assignments) {
    const separator = assignment.indexOf('=')
    const column = assignment.slice(0, separator)
    if (separator < 1 || column === 'id' || !columns.includes(column)) {
      problems.push({ place: sections.formatPlace(reference.section, reference.row), given: JSON.stringify(assignment), allowed: `column=value with a column of ${columns.join(', ')}` })
      continue
    }
    const change = { ...reference, column, before: current?.[column] ?? null, after: parseValue(reference.section, column, assignment.slice(separator + 1)) }
    if (change.before !== change.after) changes.push(change)
  }
  return problems.length > 0 ? types.fail(new types.InvalidInputError('table', problems)) : types.succeed(changes)
}

/**
 * Creates the change that removes a row.
 *
 * @param reference - The row.
 * @returns The change.
 */
export function removeRow (reference: RowReference): types.CellChange {
  return { ...reference, column: 'id', before: reference.row, after: null }
}

/** Parses a cell by the schema of its column, so that numbers compare equal to the stored cells. */
function parseValue (section: types.SectionName, column: string, text: string): types.CellValue {
  if (text === '') return null
  const cell = (schema.ROW_SCHEMAS[section].shape as Record<string, { safeParse: (value: unknown) => { success: boolean, data?: unknown } }>)[column]
  const parsed = cell?.safeParse(text)
  return parsed?.success === true ? parsed.data as types.CellValue : text
}

function invalid (problem: types.InputProblem): { readonly ok: false, readonly error: types.InvalidInputError } {
  return types.fail(new types.InvalidInputError('table', [problem]))
}
