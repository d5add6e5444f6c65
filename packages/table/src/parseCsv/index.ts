/** Reads a spreadsheet back into the changes that make the table like it. */
import * as csv from 'csv-parse/sync'
import * as types from '@switchridge/types'
import * as parseTable from '../parseTable/index.js'
import * as sections from '../_lib/sections.js'

/**
 * Parses CSV and compares it with the table.
 *
 * @param text - CSV as {@link formatCsv} writes it.
 * @param table - The table that it shall replace.
 * @returns The changes, rows that the CSV lacks included as removals, or what cannot be read.
 */
export function parseCsv (text: string, table: types.Table): types.Outcome<readonly types.CellChange[], types.InvalidInputError> {
  const records = parseRecords(text)
  if (!records.ok) return records
  const rows: Record<types.SectionName, sections.Cells[]> = { models: [], services: [], accounts: [], nodes: [] }
  const problems: types.InputProblem[] = []
  records.value.forEach((record, index) => {
    const { section: word = '', ...cells } = record
    const section = sections.findSection(word)
    if (section === undefined) problems.push({ place: `line ${index + 2}, section`, given: JSON.stringify(word), allowed: sections.SECTIONS.join(', ') })
    else rows[section].push(Object.fromEntries(Object.entries(cells).filter(([, cell]) => cell !== '')))
  })
  if (problems.length > 0) return types.fail(new types.InvalidInputError('csv', problems))
  const wanted = parseTable.parseTable({ ...types.EMPTY_TABLE, ...rows })
  return wanted.ok ? types.succeed(compareTables(table, wanted.value)) : wanted
}

/**
 * Lists the changes between two tables.
 *
 * @param current - The table as it is.
 * @param wanted - The table as it shall be.
 * @returns One change for each cell that differs.
 */
export function compareTables (current: types.Table, wanted: types.Table): types.CellChange[] {
  return sections.SECTIONS.flatMap((section) => {
    const before = new Map(sections.readCells(current, section).map((row) => [String(row['id']), row]))
    const after = new Map(sections.readCells(wanted, section).map((row) => [String(row['id']), row]))
    const removed = [...before.keys()].filter((row) => !after.has(row))
    const removals = removed.map((row): types.CellChange => ({ section, row, column: 'id', before: row, after: null }))
    return [...removals, ...[...after.entries()].flatMap(([row, cells]) => compareRows(section, row, before.get(row), cells))]
  })
}

function compareRows (section: types.SectionName, row: string, before: sections.Cells | undefined, after: sections.Cells): types.CellChange[] {
  const columns = ['id', ...Object.keys(after).filter((column) => column !== 'id')]
  return columns
    .map((column) => ({ section, row, column, before: before?.[column] ?? null, after: after[column] ?? null }))
    .filter((change) => change.before !== change.after)
}

function parseRecords (text: string): types.Outcome<Array<Record<string, string>>, types.InvalidInputError> {
  try {
    return types.succeed(csv.parse(text, { columns: true, skip_empty_lines: true, bom: true }) as Array<Record<string, string>>)
  } catch (thrown) {
    return types.fail(new types.InvalidInputError('csv', [{ place: 'file', given: types.describeError(thrown), allowed: 'CSV with a header line' }]))
  }
}
