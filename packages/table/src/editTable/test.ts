import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as platform from '@switchridge/store'
import * as table from '../index.js'

const SERVICE: types.CellChange[] = [
  { section: 'services', row: 'llm', column: 'id', before: null, after: 'llm' },
  { section: 'services', row: 'llm', column: 'kind', before: null, after: 'engine' }
]
const NO_BACKOFF = { backoffMs: 0, random: () => 0 }

const createEdit = (editId: string, changes: readonly types.CellChange[]): table.Edit => ({ editId: types.brandId(editId), editor: 'ana', changes })
const setConcurrency = (before: number, after: number): types.CellChange => ({ section: 'services', row: 'llm', column: 'concurrency', before, after })
const setQueue = (before: number, after: number): types.CellChange => ({ section: 'services', row: 'llm', column: 'queue', before, after })

async function openStore (): Promise<platform.MemoryObjectStore> {
  const store = platform.createMemoryObjectStore()
  const first = await table.editTable(store, createEdit('first', SERVICE), NO_BACKOFF)
  assert.ok(first.ok)
  return store
}

test.describe('editTable', () => {
  test.it('applies edits of different cells, and reports both values on a conflict', async () => {
    const store = await openStore()
    assert.ok((await table.editTable(store, createEdit('a', [setConcurrency(8, 9)]), NO_BACKOFF)).ok)
    assert.ok((await table.editTable(store, createEdit('b', [setQueue(16, 20)]), NO_BACKOFF)).ok)
    const conflicting = await table.editTable(store, createEdit('c', [setConcurrency(8, 10)]), NO_BACKOFF)
    assert.ok(!conflicting.ok && conflicting.error instanceof table.EditConflictError)
    assert.deepEqual(conflicting.error.conflicts, [{ place: 'service/llm.concurrency', read: 8, found: 9, wanted: 10 }])
  })

  test.it('recognizes its own write after a lost response, even if another edit followed', async () => {
    const store = await openStore()
    let lost = 0
    const lossy: platform.ObjectStore = {
      ...store,
      write: async (kind, name, value, condition) => {
        const written = await store.write(kind, name, value, condition)
        if (kind !== table.TABLE_KIND || lost > 0) return written
        lost += 1
        await table.editTable(store, createEdit('other', [setQueue(16, 30)]), NO_BACKOFF)
        return types.fail(new types.UnavailableError('answer lost'))
      }
    }
    const outcome = await table.editTable(lossy, createEdit('mine', [setConcurrency(8, 9)]), NO_BACKOFF)
    assert.ok(outcome.ok)
    const audit = await table.readAudit(store, 1)
    assert.ok(audit.ok)
    assert.deepEqual(audit.value.map((entry) => entry.editId), ['first', 'mine', 'other'])
  })

  test.it('keeps the audit trail complete when an editor crashes between its two writes', async () => {
    const store = await openStore()
    const crashing: platform.ObjectStore = { ...store, write: async (...write) => write[0] === table.TABLE_KIND ? types.fail(new types.UnavailableError('dead')) : await store.write(...write) }
    assert.ok(!(await table.editTable(crashing, createEdit('dying', [setQueue(16, 30)]), { ...NO_BACKOFF, attempts: 1 })).ok)
    assert.ok((await table.editTable(store, createEdit('next', [setQueue(16, 31)]), NO_BACKOFF)).ok)
    const audit = await table.readAudit(store, 1)
    assert.ok(audit.ok)
    assert.deepEqual(audit.value.map(({ revision, editId }) => [revision, editId]), [[1, 'first'], [2, 'next']])
  })

  test.it('reports an unknown result, neither success nor failure, when the platform does not respond', async () => {
    const store = await openStore()
    const unresponsive: platform.ObjectStore = { ...store, write: async () => types.fail(new types.UnavailableError('down')) }
    const outcome = await table.editTable(unresponsive, createEdit('a', [setQueue(16, 30)]), { ...NO_BACKOFF, attempts: 3 })
    assert.ok(!outcome.ok && outcome.error instanceof table.EditUnknownError)
  })

  test.it('rejects an invalid edit before writing, with the cells at fault', async () => {
    const store = await openStore()
    const row: types.CellChange[] = Object.entries({ id: 'm', service: 'nowhere', version: '1', source: 's', manifest: 'x', bytes: 0, originBytesPerSecond: 1 })
      .map(([column, after]) => ({ section: 'models', row: 'm', column, before: null, after }))
    const outcome = await table.editTable(store, createEdit('a', row), NO_BACKOFF)
    assert.ok(!outcome.ok && outcome.error instanceof types.InvalidInputError)
    assert.deepEqual(outcome.error.problems.map((problem) => problem.place).sort(), ['model/m.bytes', 'model/m.manifest'])
    const current = await table.readTable(store)
    assert.ok(current.ok && current.value.table.revision === 1)
  })

  test.it('exceeds the revision in force after the platform was restored from an old copy', async () => {
    const store = await openStore()
    const old = store.snapshot()
    for (let index = 0; index < 3; index += 1) await table.editTable(store, createEdit(`e${index}`, [setQueue(16 + index, 17 + index)]), NO_BACKOFF)
    store.restore(old)
    const outcome = await table.editTable(store, createEdit('after', [setQueue(16, 40)]), { ...NO_BACKOFF, revisionFloor: 4 })
    assert.ok(outcome.ok)
    assert.equal(outcome.value.revision, 5)
  })

  test.it('limits the number of audit entries', async () => {
    const store = await openStore()
    for (let index = 0; index < 6; index += 1) await table.editTable(store, createEdit(`e${index}`, [setQueue(16 + index, 17 + index)]), { ...NO_BACKOFF, auditKeep: 3 })
    const audit = await table.readAudit(store, 1)
    assert.ok(audit.ok)
    assert.deepEqual(audit.value.map((entry) => entry.revision), [5, 6, 7])
  })
})
