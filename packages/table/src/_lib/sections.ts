/** Sections of the table and their names as operators write them. */
import type * as types from '@switchridge/types'

/** Sections in display order. */
export const SECTIONS: readonly types.SectionName[] = ['services', 'accounts', 'models', 'nodes']

const SINGULAR_NAMES: Readonly<Record<types.SectionName, string>> = { models: 'model', services: 'service', accounts: 'account', nodes: 'node' }

/** Formats the path of a row or cell as operators write it: `model/assistant.targets`. */
export function formatPlace (section: types.SectionName, row: string, column?: string): string {
  const place = `${SINGULAR_NAMES[section]}/${row}`
  return column === undefined ? place : `${place}.${column}`
}

/** Finds a section by its singular or plural name, such as `model`. */
export function findSection (sectionName: string): types.SectionName | undefined {
  return SECTIONS.find((section) => section === sectionName || SINGULAR_NAMES[section] === sectionName)
}

/** The cells of a row by column. */
export type Cells = Readonly<Record<string, types.CellValue>>

/** Returns the rows of a section as cells by column. */
export function readCells (table: types.Table, section: types.SectionName): Cells[] {
  return table[section].map((row) => ({ ...row }) as unknown as Cells)
}
