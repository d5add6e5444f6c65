import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as selectVersion from './index.js'
import type * as staging from '../types/index.js'

const FULL_FETCH_MS = 4500

function createNamed (version: number, namedAt: number): staging.NamedVersion {
  return { id: { model: 'm', version }, namedAt, deadlineAt: namedAt + 8000 }
}

function select (now: number, held: number, named: readonly staging.NamedVersion[], progress: Readonly<Record<number, number>> = {}, minimumVersion = 0): number | null {
  return selectVersion.selectVersion({ held, minimumVersion, named, progressOf: (version) => progress[version] ?? 0, fullFetchMs: FULL_FETCH_MS, now })?.id.version ?? null
}

nodeTest.test('a version that the engine holds is not fetched, and an engine without a version takes the newest', () => {
  assert.equal(select(0, 2, [createNamed(1, 0), createNamed(2, 0)]), null)
  assert.equal(select(0, 0, [createNamed(1, 0), createNamed(2, 0)]), 2)
})

nodeTest.test('the newest version is selected if it can be served before the deadline of the older one', () => {
  assert.equal(select(2000, 1, [createNamed(2, 0), createNamed(3, 2000)], { 2: 0.3 }), 3)
})

nodeTest.test('the older version is completed when the newest would be served only after the deadline of the older one', () => {
  assert.equal(select(4000, 1, [createNamed(2, 0), createNamed(3, 4000)], { 2: 0.8 }), 2)
})

nodeTest.test('a version that can\'t be served before its deadline is skipped and not fetched again', () => {
  assert.equal(select(6000, 1, [createNamed(2, 0), createNamed(3, 5000)], { 2: 0.1 }), 3)
  assert.equal(select(6000, 1, [createNamed(2, 0), createNamed(3, 5000)], { 2: 0.9 }, 3), 3)
})
