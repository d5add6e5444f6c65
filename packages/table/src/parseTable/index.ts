/** Validates a table: each cell, and the references between rows. */
import * as types from '@switchridge/types'
import * as schema from '../_lib/schema.js'
import * as sections from '../_lib/sections.js'

/** Characters of a value that a message names; ids and most cells are shorter. */
const LONGEST_DESCRIPTION = 200

/** Rows are read until so many violations are found; those of a whole table of odd rows would take hundreds of megabytes. */
const MAXIMUM_PROBLEMS = 200

/**
 * Parses a table from untrusted JSON.
 *
 * @param value - Parsed JSON.
 * @returns The table, or its violations; all of them unless there are very many.
 */
export function parseTable (value: unknown): types.Outcome<types.Table, types.InvalidInputError> {
  const document = schema.tableSchema.safeParse(value)
  if (!document.success) return invalid([{ place: 'table', given: 'another shape', allowed: document.error.issues[0]?.message ?? 'a table' }])
  const problems: types.InputProblem[] = []
  const rows = Object.fromEntries(sections.SECTIONS.map((section) => [section, parseRows(section, document.data[section], problems)]))
  if (problems.length > 0) return invalid(problems)
  const table = { revision: document.data.revision, lastEdit: document.data.lastEdit, ...rows } as unknown as types.Table
  const violations = [...findDuplicates(table), ...findBrokenReferences(table), ...checkSize(table)]
  return violations.length > 0 ? invalid(violations) : types.succeed(table)
}

function invalid (problems: readonly types.InputProblem[]): { readonly ok: false, readonly error: types.InvalidInputError } {
  return types.fail(new types.InvalidInputError('table', problems))
}

function parseRows (section: types.SectionName, rows: readonly unknown[], problems: types.InputProblem[]): unknown[] {
  return rows.map((row) => {
    if (problems.length >= MAXIMUM_PROBLEMS) return null
    const result = schema.ROW_SCHEMAS[section].safeParse(row)
    if (result.success) return result.data
    const id = readId(row)
    for (const issue of result.error.issues) problems.push(...describeIssue(section, id, issue, row))
    return null
  })
}

interface Issue {
  readonly path: readonly PropertyKey[]
  readonly message: string
  readonly keys?: readonly string[]
}

function describeIssue (section: types.SectionName, id: string, issue: object, row: unknown): types.InputProblem[] {
  const { path, message, keys } = issue as Issue
  if (keys !== undefined) {
    const columns = Object.keys(schema.ROW_SCHEMAS[section].shape).join(', ')
    return keys.map((key) => ({ place: sections.formatPlace(section, id, key), given: 'an unknown column', allowed: columns }))
  }
  const column = String(path[0] ?? 'id')
  return [{ place: sections.formatPlace(section, id, column), given: describeValue(readColumn(row, column)), allowed: message }]
}

function readColumn (row: unknown, column: string): unknown {
  return (row as Record<string, unknown> | null)?.[column]
}

function readId (row: unknown): string {
  const id = readColumn(row, 'id')
  return typeof id === 'string' ? shorten(id) : describeValue(id)
}

/** Describes a value of any shape. Lists and objects are only named, since their text may be of any length, and overflow the stack where they are nested deeply. */
function describeValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  if (typeof value === 'object' && value !== null) return Array.isArray(value) ? 'a list' : 'an object'
  return shorten(JSON.stringify(value))
}

function shorten (text: string): string {
  return text.length > LONGEST_DESCRIPTION ? `${text.slice(0, LONGEST_DESCRIPTION)}...` : text
}

function findDuplicates (table: types.Table): types.InputProblem[] {
  return sections.SECTIONS.flatMap((section) => {
    const known = new Set<string>()
    const duplicates = new Set<string>()
    for (const { id } of table[section]) (known.has(id) ? duplicates : known).add(id)
    return [...duplicates].map((id) => ({ place: sections.formatPlace(section, id), given: 'two rows', allowed: 'one row for each id' }))
  })
}

function findBrokenReferences (table: types.Table): types.InputProblem[] {
  return table.models.flatMap((row) => [...checkService(table, row), ...checkBase(table, row)])
}

function checkService (table: types.Table, row: types.ModelRow): types.InputProblem[] {
  const service = table.services.find((candidate) => candidate.id === row.service)
  const place = sections.formatPlace('models', row.id, 'service')
  if (service === undefined) return [{ place, given: row.service, allowed: 'a service of the table' }]
  if (service.kind !== 'engine') return [{ place, given: row.service, allowed: 'a service of kind engine' }]
  return []
}

function checkBase (table: types.Table, row: types.ModelRow): types.InputProblem[] {
  const place = sections.formatPlace('models', row.id, 'base')
  if (row.kind === 'adapter' && row.base === null) return [{ place, given: 'nothing', allowed: 'the row that the adapter needs' }]
  if (row.base === null) return []
  const base = table.models.find((candidate) => candidate.id === row.base)
  if (base === undefined) return [{ place, given: row.base, allowed: 'a model row of the table' }]
  if (base.base !== null) return [{ place, given: row.base, allowed: 'a row without a base of its own' }]
  if (base.service !== row.service) return [{ place, given: row.base, allowed: `a row of service ${row.service}` }]
  return []
}

function checkSize (table: types.Table): types.InputProblem[] {
  const bytes = Buffer.byteLength(JSON.stringify(table))
  if (bytes <= types.MAXIMUM_OBJECT_BYTES) return []
  return [{ place: 'table', given: `${bytes} bytes`, allowed: `${types.MAXIMUM_OBJECT_BYTES} bytes at most` }]
}
