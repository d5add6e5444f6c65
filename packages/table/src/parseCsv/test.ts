import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as table from '../index.js'

const CSV = `section,id,kind,service,version,source,manifest,bytes,originBytesPerSecond,base
service,llm,engine,,,,,,,
model,asistent,,llm,1,weights/a,${'a'.repeat(64)},100,1000,
model,ton,adapter,llm,1,weights/b,${'b'.repeat(64)},10,1000,asistent
`

function importCsv (text: string, current = types.EMPTY_TABLE) {
  const changes = table.parseCsv(text, current)
  assert.ok(changes.ok, changes.ok ? '' : changes.error.message)
  const next = table.applyChanges(current, changes.value)
  assert.ok(next.ok, next.ok ? '' : next.error.message)
  return next.value
}

test.describe('parseCsv', () => {
  test.it('parses the output of formatCsv without changes to the table', () => {
    const first = importCsv(CSV)
    assert.equal(first.models.length, 2)
    const again = table.parseCsv(table.formatCsv(first), first)
    assert.ok(again.ok)
    assert.deepEqual(again.value, [])
  })

  test.it('removes rows that the CSV lacks', () => {
    const first = importCsv(CSV)
    const next = importCsv(CSV.split('\n').slice(0, 3).join('\n'), first)
    assert.deepEqual(next.models.map((row) => row.id), ['asistent'])
  })

  const invalidCases: Array<[string, string, string]> = [
    ['an adapter without its base', CSV.replace(',asistent\n', ',missing\n'), 'model/ton.base'],
    ['an unknown service', CSV.replaceAll(',llm,1,', ',stoc,1,'), 'model/asistent.service'],
    ['text instead of a number', CSV.replace(',100,', ',many,'), 'model/asistent.bytes'],
    ['two rows with one id', CSV + CSV.split('\n')[2], 'model/asistent'],
    ['an unknown section', CSV.replace('service,llm', 'servant,llm'), 'line 2, section']
  ]
  for (const [name, text, place] of invalidCases) {
    test.it(`reports the path of ${name}`, () => {
      const outcome = table.parseCsv(text, types.EMPTY_TABLE)
      assert.ok(!outcome.ok)
      assert.equal(outcome.error.problems[0]?.place, place)
    })
  }
})
