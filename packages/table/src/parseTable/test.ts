/** Guards against daemons that stop following the table since describing what another writer left in it threw. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as parseTable from './index.js'

const DEPTH = 20_000
const LONG = 1_000_000
const LONGEST_MESSAGE = 2000
const DIGEST = 'a'.repeat(64)
const TABLE = {
  revision: 3,
  lastEdit: { revision: 3, editId: 'e', editor: 'x', at: 'now', changes: [{ section: 'models', row: 'r', column: 'c', before: null, after: 1 }] },
  models: [{ id: 'm', service: 's', version: '1', source: 'x', manifest: DIGEST, bytes: 1, originBytesPerSecond: 1 }],
  services: [{ id: 's', kind: 'engine' }],
  accounts: [{ id: 'a', keyDigest: DIGEST }],
  nodes: [{ id: 'n' }]
}

const ODD_VALUES: Readonly<Record<string, unknown>> = {
  null: null,
  'nested lists': JSON.parse('['.repeat(DEPTH) + ']'.repeat(DEPTH)),
  'nested objects': JSON.parse('{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH)),
  'a number beyond all': JSON.parse('1e999'),
  'a number of many digits': JSON.parse('9'.repeat(400)),
  'half a character': '\ud800',
  'a long text': 'x'.repeat(LONG),
  'an object without a text': { toString: 1, valueOf: 1 },
  'a negative number': -1
}

type Path = ReadonlyArray<string | number>

/** Lists the paths of a value and of all values within it. */
function listPaths (value: unknown, path: Path = []): Path[] {
  if (typeof value !== 'object' || value === null) return [path]
  return [path, ...Object.entries(value).flatMap(([key, each]) => listPaths(each, [...path, key]))]
}

/** Returns a copy with the value at a path replaced. */
function replace (target: unknown, path: Path, value: unknown): unknown {
  const [key, ...rest] = path
  if (key === undefined) return value
  const copy = (Array.isArray(target) ? [...target as unknown[]] : { ...target as object }) as Record<string | number, unknown>
  copy[key] = replace(copy[key], rest, value)
  return copy
}

nodeTest.test('a table with an odd value in any place is parsed, or refused with a short message', () => {
  assert.ok(parseTable.parseTable(TABLE).ok)
  const faults: string[] = []
  for (const path of [...listPaths(TABLE), ['extra'], ['models', 0, 'extra']]) {
    for (const [name, value] of Object.entries(ODD_VALUES)) {
      try {
        const parsed = parseTable.parseTable(replace(TABLE, path, value))
        if (!parsed.ok && parsed.error.message.length > LONGEST_MESSAGE) faults.push(`${path.join('.')} ${name}: ${parsed.error.message.length} characters`)
      } catch (thrown) {
        faults.push(`${path.join('.')} ${name}: ${String(thrown)}`)
      }
    }
  }
  assert.deepEqual(faults, [])
})

nodeTest.test('a table of odd rows alone is refused with a bounded number of violations', () => {
  const parsed = parseTable.parseTable({ ...TABLE, models: Array.from({ length: 100_000 }, () => ({})) })
  assert.ok(!parsed.ok && parsed.error.problems.length < 220)
})

nodeTest.test('each id that stands in two rows is named once', () => {
  const parsed = parseTable.parseTable({ ...TABLE, nodes: [{ id: 'a' }, { id: 'b' }, { id: 'a' }, { id: 'a' }, { id: 'b' }] })
  assert.deepEqual(parsed.ok ? [] : parsed.error.problems.map(({ place }) => place), ['node/a', 'node/b'])
})
