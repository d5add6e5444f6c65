import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as computeFingerprint from '../computeFingerprint/index.js'
import type * as suspects from '../types/suspects.js'
import * as matchesSuspect from './index.js'

const FIRST = types.brandId<types.PromptPartId>('#a1')
const SECOND = types.brandId<types.PromptPartId>('#b2')
const FINGERPRINT = types.brandId<computeFingerprint.CallFingerprint>('3w5e11264sg0')

function describeCall (...parts: types.PromptPartId[]): suspects.CallFeatures {
  return { fingerprint: () => FINGERPRINT, parts }
}

nodeTest.test('a call matches a set of parts only if it has all of them', () => {
  const both = matchesSuspect.formatPartSet([SECOND, FIRST])
  assert.equal(both, matchesSuspect.formatPartSet([FIRST, SECOND, FIRST]))
  assert.ok(matchesSuspect.matchesSuspect(both, describeCall(SECOND, FIRST)))
  assert.ok(!matchesSuspect.matchesSuspect(both, describeCall(SECOND)))
  assert.ok(matchesSuspect.matchesSuspect(matchesSuspect.formatPartSet([FIRST]), describeCall(SECOND, FIRST)))
})

nodeTest.test('a call matches its own fingerprint, which is not computed to compare parts', () => {
  assert.ok(matchesSuspect.matchesSuspect(FINGERPRINT, describeCall()))
  assert.ok(!matchesSuspect.matchesSuspect(types.brandId<computeFingerprint.CallFingerprint>('other'), describeCall()))
  const call = { fingerprint: () => { throw new Error('computed') }, parts: [] }
  assert.ok(!matchesSuspect.matchesSuspect(matchesSuspect.formatPartSet([FIRST]), call))
})

nodeTest.test('only canonical ids are valid', () => {
  for (const id of [FINGERPRINT, '#a1', '#a1+#b2']) assert.ok(matchesSuspect.isSuspectId(id), id)
  for (const id of [null, '', '#', '#b2+#a1', '#a1+#a1', '#a1+', `#${'a'.repeat(17)}`, 'NO']) assert.ok(!matchesSuspect.isSuspectId(id), String(id))
})
