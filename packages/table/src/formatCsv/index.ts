/** Writes the table as one spreadsheet. */
import * as csv from 'csv-stringify/sync'
import type * as types from '@switchridge/types'
import * as schema from '../_lib/schema.js'
import * as sections from '../_lib/sections.js'

/**
 * Formats a table as CSV: a column `section`, then every column that any section has.
 *
 * @param table - The table.
 * @returns CSV with a header line; cells that a section lacks are empty.
 */
export function formatCsv (table: types.Table): string {
  const columns = ['section', ...new Set(sections.SECTIONS.flatMap((section) => Object.keys(schema.ROW_SCHEMAS[section].shape)))]
  const records = sections.SECTIONS.flatMap((section) => sections.readCells(table, section).map((row) => ({ section, ...row })))
  return csv.stringify(records, { header: true, columns })
}
