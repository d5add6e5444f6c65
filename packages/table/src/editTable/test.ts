import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as platform from '@switchridge/store'
import * as table from '../index.js'

const SERVICE: types.CellChange[] = [
  { section: 'services', row: 'llm', column: 'id', before: null, after: 'llm' },
  { section: 'services', row: 'llm', column: 'kind', before: null, after: 'engine' }
]
const QUICK = { backoffMs: 0, random: () => 0 }

const editOf = (editId: string, changes: readonly types.CellChange[]): table.Edit => ({ editId: types.brandId(editId), editor: 'ana', changes })
const setConcurrency = (before: number, after: number): types.CellChange => ({ section: 'services', row: 'llm', column: 'concurrency', before, after })
const setQueue = (before: number, after: number): types.CellChange => ({ section: 'services', row: 'llm', column: 'queue', before, after })

async function openStore (): Promise<platform.MemoryObjectStore> {
  const store = platform.createMemoryObjectStore()
  const first = await table.editTable(store, editOf('first', SERVICE), QUICK)
  assert.ok(first.ok)
  return store
}

test.describe('editTable', () => {
  test.it('lets edits of different cells both in, and shows both values where they clash', async () => {
    const store = await openStore()
    assert.ok((await table.editTable(store, editOf('a', [setConcurrency(8, 9)]), QUICK)).ok)
    assert.ok((await table.editTable(store, editOf('b', [setQueue(16, 20)]), QUICK)).ok)
    const clash = await table.editTable(store, editOf('c', [setConcurrency(8, 10)]), QUICK)
    assert.ok(!clash.ok && clash.error instanceof table.EditConflictError)
    assert.deepEqual(clash.error.conflicts, [{ place: 'service/llm.concurrency', read: 8, found: 9, wanted: 10 }])
  })

  test.it('recognises its own write after a lost answer, also when another edit followed', async () => {
    const store = await openStore()
    let lost = 0
    const lossy: platform.ObjectStore = {
      ...store,
      write: async (kind, name, value, condition) => {
        const written = await store.write(kind, name, value, condition)
        if (kind !== table.TABLE_KIND || lost > 0) return written
        lost += 1
        await table.editTable(store, editOf('other', [setQueue(16, 30)]), QUICK)
        return types.fail(new types.UnavailableError('answer lost'))
      }
    }
    const outcome = await table.editTable(lossy, editOf('mine', [setConcurrency(8, 9)]), QUICK)
    assert.ok(outcome.ok)
    const audit = await table.readAudit(store, 1)
    assert.ok(audit.ok)
    assert.deepEqual(audit.value.map((entry) => entry.editId), ['first', 'mine', 'other'])
  })

  test.it('keeps the audit whole when an editor dies between its two writes', async () => {
    const store = await openStore()
    const dying: platform.ObjectStore = { ...store, write: async (...write) => write[0] === table.TABLE_KIND ? types.fail(new types.UnavailableError('dead')) : await store.write(...write) }
    assert.ok(!(await table.editTable(dying, editOf('dying', [setQueue(16, 30)]), { ...QUICK, attempts: 1 })).ok)
    assert.ok((await table.editTable(store, editOf('next', [setQueue(16, 31)]), QUICK)).ok)
    const audit = await table.readAudit(store, 1)
    assert.ok(audit.ok)
    assert.deepEqual(audit.value.map(({ revision, editId }) => [revision, editId]), [[1, 'first'], [2, 'next']])
  })

  test.it('says unknown, never success or failure, when the platform stays silent', async () => {
    const store = await openStore()
    const silent: platform.ObjectStore = { ...store, write: async () => types.fail(new types.UnavailableError('down')) }
    const outcome = await table.editTable(silent, editOf('a', [setQueue(16, 30)]), { ...QUICK, attempts: 3 })
    assert.ok(!outcome.ok && outcome.error instanceof table.EditUnknownError)
  })

  test.it('refuses an edit that breaks a rule before it writes, naming the cell', async () => {
    const store = await openStore()
    const row: types.CellChange[] = Object.entries({ id: 'm', service: 'nowhere', version: '1', source: 's', manifest: 'x', bytes: 0, originBytesPerSecond: 1 })
      .map(([column, after]) => ({ section: 'models', row: 'm', column, before: null, after }))
    const outcome = await table.editTable(store, editOf('a', row), QUICK)
    assert.ok(!outcome.ok && outcome.error instanceof types.InvalidInputError)
    assert.deepEqual(outcome.error.problems.map((problem) => problem.place).sort(), ['model/m.bytes', 'model/m.manifest'])
    const current = await table.readTable(store)
    assert.ok(current.ok && current.value.table.revision === 1)
  })

  test.it('goes above the revision in force after the platform came back with an old copy', async () => {
    const store = await openStore()
    const old = store.snapshot()
    for (let index = 0; index < 3; index += 1) await table.editTable(store, editOf(`e${index}`, [setQueue(16 + index, 17 + index)]), QUICK)
    store.restore(old)
    const outcome = await table.editTable(store, editOf('after', [setQueue(16, 40)]), { ...QUICK, revisionFloor: 4 })
    assert.ok(outcome.ok)
    assert.equal(outcome.value.revision, 5)
  })

  test.it('bounds the audit trail', async () => {
    const store = await openStore()
    for (let index = 0; index < 6; index += 1) await table.editTable(store, editOf(`e${index}`, [setQueue(16 + index, 17 + index)]), { ...QUICK, auditKeep: 3 })
    const audit = await table.readAudit(store, 1)
    assert.ok(audit.ok)
    assert.deepEqual(audit.value.map((entry) => entry.revision), [5, 6, 7])
  })
})
