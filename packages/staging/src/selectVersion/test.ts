import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as selectVersion from './index.js'
import type * as staging from '../types/index.js'

const WHOLE_MS = 4500

function name (version: number, heardAt: number): staging.NamedVersion {
  return { id: { model: 'm', version }, heardAt, boundAt: heardAt + 8000 }
}

function plan (now: number, held: number, named: readonly staging.NamedVersion[], progress: Readonly<Record<number, number>> = {}, notBelow = 0): number | null {
  return selectVersion.selectVersion({ held, notBelow, named, progressOf: (version) => progress[version] ?? 0, wholeMs: WHOLE_MS, now })?.id.version ?? null
}

nodeTest.test('a version that is held needs no fetching, and an empty engine takes the newest', () => {
  assert.equal(plan(0, 2, [name(1, 0), name(2, 0)]), null)
  assert.equal(plan(0, 0, [name(1, 0), name(2, 0)]), 2)
})

nodeTest.test('the newest version is taken at once if it can serve before the older one\'s bound', () => {
  assert.equal(plan(2000, 1, [name(2, 0), name(3, 2000)], { 2: 0.3 }), 3)
})

nodeTest.test('the older version is finished when the newest would come after its bound', () => {
  assert.equal(plan(4000, 1, [name(2, 0), name(3, 4000)], { 2: 0.8 }), 2)
})

nodeTest.test('a version that can\'t serve before its bound is skipped, and is not taken up again', () => {
  assert.equal(plan(6000, 1, [name(2, 0), name(3, 5000)], { 2: 0.1 }), 3)
  assert.equal(plan(6000, 1, [name(2, 0), name(3, 5000)], { 2: 0.9 }, 3), 3)
})
