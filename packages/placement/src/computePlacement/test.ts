import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as types from '@switchridge/types'
import type * as membership from '@switchridge/membership'
import * as computePlacement from './index.js'

function makeMember (index: number, overrides: Partial<membership.Member> = {}): membership.Member {
  const facts: types.MemberFacts = {
    node: types.brandId(`node-${index}`),
    role: 'backend',
    dataHall: types.brandId(`hall-${index % 3}`),
    region: types.brandId('region'),
    address: { host: '127.0.0.1', port: 1 },
    incarnation: types.brandId('1'),
    factsVersion: 1,
    state: 'live',
    service: types.brandId<types.ServiceName>('llm'),
    memoryBytes: 100,
    serving: [],
    holding: [],
    waitingFor: '',
    revision: 1
  }
  return { facts, condition: 'live', leaving: false, recentlySilent: false, ...overrides }
}

function makeRow (id: string, overrides: Partial<types.ModelRow> = {}): types.ModelRow {
  return {
    id: types.brandId(id),
    kind: 'model',
    base: null,
    service: types.brandId<types.ServiceName>('llm'),
    version: '1',
    source: 'x',
    manifest: types.brandId('0'.repeat(64)),
    bytes: 40,
    targets: 'all',
    priority: 0,
    originCopies: 1,
    originBytesPerSecond: 1,
    favour: 'time',
    minimumServing: 0,
    ...overrides
  }
}

const createTable = (...models: types.ModelRow[]): types.Table => ({ ...types.EMPTY_TABLE, models })
const createFleet = (size: number): membership.Member[] => Array.from({ length: size }, (_, index) => makeMember(index))
const listNodes = (placement: computePlacement.Placement, row: string): string[] =>
  placement.assignments.filter((assignment) => assignment.row.id === row).map((assignment) => assignment.node).sort()

test.describe('computePlacement', () => {
  test.it('places copies by fleet, by count across the halls, by hall and by node name', () => {
    const fleet = createFleet(9)
    assert.equal(listNodes(computePlacement.computePlacement(createTable(makeRow('a')), fleet), 'a').length, 9)
    const three = computePlacement.computePlacement(createTable(makeRow('a', { targets: '3' })), fleet)
    const halls = new Set(listNodes(three, 'a').map((node) => Number(node.slice(5)) % 3))
    assert.equal(halls.size, 3)
    const hall = computePlacement.computePlacement(createTable(makeRow('a', { targets: 'hall-1=2 node:node-0' })), fleet)
    assert.equal(listNodes(hall, 'a').length, 3)
    assert.ok(listNodes(hall, 'a').includes('node-0'))
  })

  test.it('places adapters only on nodes that hold their base, and orders the base first', () => {
    const table = createTable(makeRow('adapter', { kind: 'adapter', base: types.brandId<types.RowId>('base'), bytes: 5, targets: '2', priority: 9 }), makeRow('base', { targets: '2' }))
    const placement = computePlacement.computePlacement(table, createFleet(6))
    assert.deepEqual(listNodes(placement, 'adapter'), listNodes(placement, 'base'))
    const orders = placement.assignments.map((assignment) => `${assignment.row.id}${assignment.order}`)
    assert.ok(orders.includes('base0') && orders.includes('adapter1'))
  })

  test.it('allocates memory to higher priorities first and reports what does not fit', () => {
    const table = createTable(makeRow('low', { bytes: 60 }), makeRow('high', { bytes: 60, priority: 5 }))
    const placement = computePlacement.computePlacement(table, createFleet(3))
    assert.equal(listNodes(placement, 'high').length, 3)
    assert.equal(listNodes(placement, 'low').length, 0)
    const short = computePlacement.computePlacement(createTable(makeRow('a', { targets: '5' })), createFleet(3))
    assert.deepEqual(short.shortfalls.map(({ wanted, placed }) => [wanted, placed]), [[5, 3]])
  })

  test.it('keeps the assignments of silent nodes and gives none to leaving and gone ones', () => {
    const fleet = [makeMember(0, { condition: 'silent' }), makeMember(1, { leaving: true }), makeMember(2, { condition: 'gone' })]
    assert.deepEqual(listNodes(computePlacement.computePlacement(createTable(makeRow('a')), fleet), 'a'), ['node-0'])
  })

  test.it('moves at most one copy of a row when one node is removed, and never exceeds memory', () => {
    fc.assert(fc.property(fc.integer({ min: 4, max: 40 }), fc.integer({ min: 1, max: 4 }), fc.nat(), (size, count, choice) => {
      const table = createTable(makeRow('a', { targets: String(count) }), makeRow('b', { targets: String(count) }), makeRow('c', { targets: String(count) }))
      const fleet = createFleet(size)
      const removed = `node-${choice % size}`
      const before = computePlacement.computePlacement(table, fleet)
      const after = computePlacement.computePlacement(table, fleet.filter((member) => member.facts.node !== removed))
      const previous = new Set(listNodes(before, 'a'))
      const added = listNodes(after, 'a').filter((node) => !previous.has(node))
      assert.ok(added.length <= 1, `${added.length} copies moved`)
      const used = new Map<string, number>()
      for (const { node, row } of before.assignments) used.set(node, (used.get(node) ?? 0) + row.bytes)
      for (const bytes of used.values()) assert.ok(bytes <= 100)
    }), { seed: 3 })
  })
})
