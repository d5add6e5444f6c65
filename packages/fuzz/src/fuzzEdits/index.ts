/** Fuzzes concurrent editors on a platform with faults. Checks that accepted edits take effect exactly once and that the audit trail is complete. */
import * as fc from 'fast-check'
import * as platform from '@switchridge/store'
import * as tables from '@switchridge/table'
import * as types from '@switchridge/types'
import * as faultyStore from '../_lib/faultyStore.js'
import type * as fuzzOptions from '../_lib/fuzzOptions.js'

/** The edit function under test; tests pass a faulty one to check that the fuzzer detects it. */
export type EditTable = typeof tables.editTable

const COLUMNS = ['concurrency', 'queue', 'deadlineMs'] as const
const FAULTS: readonly faultyStore.StoreFault[] = ['none', 'none', 'none', 'refused', 'lost-request', 'lost-answer']
const ATTEMPTS = 4

const planArbitrary = fc.record({
  edits: fc.array(fc.record({ column: fc.nat(COLUMNS.length - 1), value: fc.integer({ min: 20, max: 25 }) }), { minLength: 1, maxLength: 5 }),
  faults: fc.array(fc.nat(FAULTS.length - 1), { maxLength: 40 }),
  turns: fc.infiniteStream(fc.nat(3))
})

interface EditResult {
  readonly editId: types.EditId
  readonly change: types.CellChange
  readonly outcome: types.Outcome<types.Table>
}

/**
 * Fuzzes edits.
 *
 * @param options - Seed and number of runs.
 * @param editTable - The function under test.
 * @returns Resolves if no run violates a guarantee; rejects with the smallest run that does.
 */
export async function fuzzEdits (options: fuzzOptions.FuzzOptions, editTable: EditTable = tables.editTable): Promise<void> {
  await fc.assert(fc.asyncProperty(planArbitrary, async ({ edits, faults, turns }) => {
    const store = platform.createMemoryObjectStore()
    await createService(store)
    const initialCells = await readCells(store)
    let calls = 0
    const nextFault = (): faultyStore.StoreFault => FAULTS[faults[calls++] ?? 0] ?? 'none'
    const yieldTurn = async (): Promise<void> => { for (let remaining = turns.next().value; remaining > 0; remaining -= 1) await Promise.resolve() }
    const faulty = faultyStore.createFaultyStore(store, nextFault, yieldTurn)
    const results = await Promise.all(edits.map(async (edit, index): Promise<EditResult> => {
      const change: types.CellChange = { section: 'services', row: 'llm', column: COLUMNS[edit.column] ?? 'queue', before: initialCells.get(edit.column) ?? null, after: edit.value }
      const editId = types.brandId<types.EditId>(`edit-${index}`)
      const outcome = await editTable(faulty, { editId, editor: 'fuzz', changes: [change] }, { attempts: ATTEMPTS, backoffMs: 0, random: () => 0 })
      return { editId, change, outcome }
    }))
    await checkResults(store, results)
  }), { seed: options.seed, numRuns: options.runs })
}

async function createService (store: platform.ObjectStore): Promise<void> {
  const changes: types.CellChange[] = Object.entries({ id: 'llm', kind: 'engine' }).map(([column, after]) => ({ section: 'services', row: 'llm', column, before: null, after }))
  await tables.editTable(store, { editId: types.brandId('first'), editor: 'fuzz', changes })
}

async function readCells (store: platform.ObjectStore): Promise<Map<number, types.CellValue>> {
  const stored = await tables.readTable(store)
  const row = stored.ok ? stored.value.table.services[0] as unknown as Record<string, types.CellValue> : {}
  return new Map(COLUMNS.map((column, index) => [index, row[column] ?? null]))
}

/** Oracle: replaying the audit trail must yield the table, and the outcome of every edit must agree with the audit trail. */
async function checkResults (store: platform.ObjectStore, results: readonly EditResult[]): Promise<void> {
  const audit = await tables.readAudit(store, 1)
  const stored = await tables.readTable(store)
  if (!audit.ok || !stored.ok) throw new Error('the table or the audit trail cannot be read after the run')
  audit.value.forEach((entry, index) => { if (entry.revision !== index + 1) throw new Error(`revision ${index + 1} has no audit entry`) })
  const counts = new Map<string, number>()
  for (const entry of audit.value) counts.set(entry.editId, (counts.get(entry.editId) ?? 0) + 1)
  for (const { editId, outcome } of results) {
    const count = counts.get(editId) ?? 0
    if (count > 1) throw new Error(`${editId} took effect ${count} times`)
    if (outcome.ok && count !== 1) throw new Error(`${editId} was accepted but has no audit entry`)
    const isDefinitelyRejected = !outcome.ok && !(outcome.error instanceof tables.EditUnknownError)
    if (isDefinitelyRejected && count !== 0) throw new Error(`${editId} was refused but has an audit entry`)
  }
  let replayed = types.EMPTY_TABLE
  for (const entry of audit.value) {
    const applied = tables.applyChanges(replayed, entry.changes)
    if (!applied.ok) throw new Error(`replaying the audit trail failed: ${applied.error.message}`)
    replayed = applied.value
  }
  if (JSON.stringify(replayed.services) !== JSON.stringify(stored.value.table.services)) throw new Error('the table differs from the replayed audit trail')
}
