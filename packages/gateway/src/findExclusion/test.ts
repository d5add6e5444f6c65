import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as findExclusion from './index.js'

const RULES: findExclusion.ExclusionRules = { regions: new Map([['hall-a', 'a'], ['hall-b', 'b']]), isEvacuated: (zone) => zone === 'hall-b' }

/** Guards against a hall without a region, or a region name that is also a property of objects, that counts as allowed. */
nodeTest.test('a hall that is in no region serves only calls without a restriction', () => {
  for (const zone of ['hall-c', 'constructor', '__proto__']) {
    assert.equal(findExclusion.findExclusion({ zone }, null, RULES), null)
    assert.equal(findExclusion.findExclusion({ zone }, new Set(['a']), RULES), 'region')
  }
  assert.equal(findExclusion.findExclusion({ zone: 'hall-a' }, new Set(['a']), RULES), null)
  assert.equal(findExclusion.findExclusion({ zone: 'hall-a' }, new Set(), RULES), 'region')
})

/** Guards against a refusal for an evacuation of a hall that the call may not enter at all. */
nodeTest.test('the region takes precedence over an evacuation', () => {
  assert.equal(findExclusion.findExclusion({ zone: 'hall-b' }, new Set(['a']), RULES), 'region')
  assert.equal(findExclusion.findExclusion({ zone: 'hall-b' }, new Set(['b']), RULES), 'evacuated')
  assert.equal(findExclusion.findExclusion({ zone: 'hall-b' }, null, RULES), 'evacuated')
})
