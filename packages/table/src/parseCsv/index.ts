/** Parses CSV and computes the changes that turn the current table into it. */
import * as csv from 'csv-parse/sync'
import * as types from '@switchridge/types'
import * as parseTable from '../parseTable/index.js'
import * as sections from '../_lib/sections.js'

/**
 * Parses CSV and compares it with a table.
 *
 * @param text - CSV as {@link formatCsv} writes it.
 * @param table - The current table.
 * @returns The changes, which remove rows that the CSV lacks, or the violations.
 */
export function parseCsv (text: string, table: types.Table): types.Outcome<readonly types.CellChange[], types.InvalidInputError> {
  const records = parseRecords(text)
  if (!records.ok) return records
  const rows: Record<types.SectionName, sections.Cells[]> = { models: [], services: [], accounts: [], nodes: [] }
  const problems: types.InputProblem[] = []
  records.value.forEach((record, index) => {
    const { section: sectionName = '', ...cells } = record
    const section = sections.findSection(sectionName)
    if (section === undefined) problems.push({ place: `line ${index + 2}, section`, given: JSON.stringify(sectionName), allowed: sections.SECTIONS.join(', ') })
    else rows[section].push(Object.fromEntries(Object.entries(cells).filter(([, cell]) => cell !== '')))
  })
  if (problems.length > 0) return types.fail(new types.InvalidInputError('csv', problems))
  const wanted = parseTable.parseTable({ ...types.EMPTY_TABLE, ...rows })
  return wanted.ok ? types.succeed(compareTables(table, wanted.value)) : wanted
}

/**
 * Lists the cell changes between two tables.
 *
 * @param current - The current table.
 * @param wanted - The desired table.
 * @returns One change for each cell that differs, and one for each removed row.
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
