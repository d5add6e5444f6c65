import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createUnreadableObjects from './createUnreadableObjects.js'

/** Guards against a line for each list and each copy of objects that nobody has changed. */
nodeTest.test('each state of an object that can\'t be parsed is reported once', () => {
  const lines: unknown[] = []
  let counted = 0
  let listed: ReadonlyMap<string, store.StoredObject> = new Map()
  const report = createUnreadableObjects.createUnreadableObjects({
    logger: { warn: (_event, { name = '', revision = 0 } = {}) => { lines.push([name, revision]) } },
    count: () => { counted += 1 }
  })

  function list (...objects: ReadonlyArray<readonly [name: string, revision: number]>): void {
    listed = new Map(objects.map(([name, revision]) => [name, { name, revision, value: null }]))
    for (const object of listed.values()) report({ kind: 'servers', objects: () => listed }, object, new types.InvalidInputError('entry', []))
  }

  list(['a', 1], ['b', 2])
  list(['a', 1], ['b', 2])
  list(['a', 3], ['b', 2])
  list(['b', 2])
  list(['a', 3], ['b', 2])
  assert.deepEqual(lines, [['a', 1], ['b', 2], ['a', 3], ['a', 3]])
  assert.equal(counted, lines.length)
})

/** Guards against a gateway that stands still because each report of a long list walked through all reports before it. */
nodeTest.test('the work for a list of objects that can\'t be parsed grows with their number, not its square', () => {
  const count = 3000
  let lookups = 0
  const listed = new class extends Map<string, store.StoredObject> {
    override has (name: string): boolean {
      lookups += 1
      return super.has(name)
    }
  }()
  const report = createUnreadableObjects.createUnreadableObjects({ logger: { warn: () => {} }, count: () => {} })
  for (let revision = 1; revision <= 3; revision += 1) {
    listed.clear()
    for (let index = 0; index < count; index += 1) listed.set(`${revision}-${index}`, { name: `${revision}-${index}`, revision, value: null })
    for (const object of listed.values()) report({ kind: 'servers', objects: () => listed }, object, new types.InvalidInputError('entry', []))
  }
  assert.ok(lookups <= 3 * 2 * count, `${lookups} look-ups`)
})
