/** Guards against a process that ends by an unhandled rejection when its drain fails, without stopping its role. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as drainAndLogErrors from './drainAndLogErrors.js'

nodeTest.test('a drain that fails is logged and does not reject', async (context) => {
  const write = context.mock.method(process.stderr, 'write', () => true)
  await drainAndLogErrors.drainAndLogErrors({ drain: async () => { throw new Error('store "gone"') } })
  assert.equal(write.mock.calls[0]?.arguments[0], 'level=error event=drain-failed error="store \\"gone\\""\n')
})
