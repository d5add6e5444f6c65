/** Guards against a gateway that does not apply the regions of its settings and configuration. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as clock from '@switchridge/clock'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOSTS = ['127.0.0.1', '127.0.0.2'] as const
const OK = 200
const REFUSED = 503

nodeTest.test('a route that allows the region of an engine is served, and refused by a gateway whose settings have no regions', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure((configuration) => { for (const route of configuration.routes) if (route['name'] === 'read') route['allowedRegions'] = ['a'] })
  const engine = await fleet.startEngine({ id: 'i-1' }, 'api')
  const withRegions = await fleet.startGateway(HOSTS[0], [], clock.SYSTEM_CLOCKS, { regions: '"zone-a" = "a"\n' })
  const withoutRegions = await fleet.startGateway(HOSTS[1])
  await fleetTesting.waitUntilServed(withRegions, '/write/probe')
  await fleetTesting.waitUntilServed(withoutRegions, '/write/probe')
  assert.equal((await fleetTesting.call(withRegions, { path: '/read/x', id: 'allowed' })).status, OK)
  const refused = await fleetTesting.call(withoutRegions, { path: '/read/x', id: 'restricted' })
  assert.equal(refused.status, REFUSED)
  assert.match(refused.body, /^region: /)
  assert.deepEqual(engine.arrivals.filter(({ requestId }) => requestId === 'restricted'), [])
})
