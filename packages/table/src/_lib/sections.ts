/** Names of the table's sections and how operators write them. */
import type * as types from '@switchridge/types'

/** Sections in the order in which they are shown. */
export const SECTIONS: readonly types.SectionName[] = ['services', 'accounts', 'models', 'nodes']

const SINGULAR: Readonly<Record<types.SectionName, string>> = { models: 'model', services: 'service', accounts: 'account', nodes: 'node' }

/** Writes a place in the table as operators do: `model/asistent.targets`. */
export function formatPlace (section: types.SectionName, row: string, column?: string): string {
  const place = `${SINGULAR[section]}/${row}`
  return column === undefined ? place : `${place}.${column}`
}

/** Finds the section of a word such as `model`. */
export function findSection (word: string): types.SectionName | undefined {
  return SECTIONS.find((section) => section === word || SINGULAR[section] === word)
}

/** A row as cells by column. */
export type Cells = Readonly<Record<string, types.CellValue>>

/** The rows of a section as plain cells. */
export function readCells (table: types.Table, section: types.SectionName): Cells[] {
  return table[section].map((row) => ({ ...row }) as unknown as Cells)
}
