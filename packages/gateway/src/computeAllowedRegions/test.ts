import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as computeAllowedRegions from './index.js'

/** Guards against a list that restricts nothing because the other one is empty, and against the union of the two. */
nodeTest.test('a region must be in the list of the route and in that of the tenant, and an empty list does not restrict', () => {
  const compute = (route: string[], tenant: string[] | null): string[] | null => {
    const regions = computeAllowedRegions.computeAllowedRegions({ allowedRegions: route }, tenant === null ? null : { allowedRegions: tenant })
    return regions === null ? null : [...regions]
  }
  assert.equal(compute([], null), null)
  assert.equal(compute([], []), null)
  assert.deepEqual(compute(['a', 'b'], null), ['a', 'b'])
  assert.deepEqual(compute([], ['a']), ['a'])
  assert.deepEqual(compute(['a', 'b'], ['b', 'c']), ['b'])
  assert.deepEqual(compute(['a'], ['b']), [])
})
