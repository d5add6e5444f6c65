/** Formats the table as CSV. */
import * as csv from 'csv-stringify/sync'
import type * as types from '@switchridge/types'
import * as schema from '../_lib/schema.js'
import * as sections from '../_lib/sections.js'

/**
 * Formats a table as CSV with a column `section` followed by the columns of all sections.
 *
 * @param table - The table.
 * @returns CSV with a header line; columns that a section lacks are empty.
 */
export function formatCsv (table: types.Table): string {
  const columns = ['section', ...new Set(sections.SECTIONS.flatMap((section) => Object.keys(schema.ROW_SCHEMAS[section].shape)))]
  const records = sections.SECTIONS.flatMap((section) => sections.readCells(table, section).map((row) => ({ section, ...row })))
  return csv.stringify(records, { header: true, columns })
}
