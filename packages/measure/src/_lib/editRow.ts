/** Edits the table for the experiments, through the platform as operators do. */
import * as crypto from 'node:crypto'
import type * as launcher from '@switchridge/launcher'
import * as platform from '@switchridge/store'
import * as rpc from '@switchridge/rpc'
import * as tables from '@switchridge/table'
import * as types from '@switchridge/types'

const PLATFORM_TIMEOUT_MS = 15_000

/** Cell values of a row by column. */
export type RowCells = Readonly<Record<string, types.CellValue>>

/** Opens the object store on the platform of a fleet. */
export function openStore (fleet: Pick<launcher.Fleet, 'platformUrl'>): platform.ObjectStore {
  return platform.createObjectStore({ url: fleet.platformUrl, timeoutMs: PLATFORM_TIMEOUT_MS, agents: rpc.createHttpAgents() })
}

/** Sets cells of a row, adding the row if it is missing; returns the new revision. */
export async function editRow (store: platform.ObjectStore, section: types.SectionName, row: string, cells: RowCells): Promise<number> {
  const stored = await tables.readTable(store)
  if (!stored.ok) throw stored.error
  const current = stored.value.table[section].find((each) => each.id === row) as RowCells | undefined
  const changes = Object.entries(cells).map(([column, after]): types.CellChange => ({ section, row, column, before: current?.[column] ?? null, after }))
  const idChanges: types.CellChange[] = current === undefined ? [{ section, row, column: 'id', before: null, after: row }] : []
  const edited = await tables.editTable(store, { editId: types.brandId<types.EditId>(crypto.randomUUID()), editor: 'measure', changes: [...idChanges, ...changes] })
  if (!edited.ok) throw edited.error
  return edited.value.revision
}
