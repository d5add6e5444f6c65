import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as gateway from '../types/index.js'
import * as findUnknownRegions from './index.js'

/** Guards against misspelled regions that nobody hears of, and against a log line for each route that names one. */
nodeTest.test('each region that no hall is in is listed once', () => {
  const restrict = (...allowedRegions: string[]): gateway.Route & gateway.Tenant => ({ allowedRegions }) as unknown as gateway.Route & gateway.Tenant
  const configuration = { routes: [restrict('a', 'x'), restrict('x'), restrict()], tenants: [restrict('y', 'b')] }
  assert.deepEqual(findUnknownRegions.findUnknownRegions(configuration, new Set(['a', 'b'])), ['x', 'y'])
})
