/** Guards against a gateway that ends, exceeds its memory or leaves the calls of others unserved because one of its peers sends without end. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as runEndlessPeer from './index.js'

/** Shapes of many small parts, each of which costs far more than its bytes; all of the table by hand with `npm run fuzz -- --endless-peers`. */
const SMALL_PARTS = /one byte|16 bytes|each in a chunk|with extensions|one after the other/
const CONNECTIONS: ReadonlySet<number> = new Set([1, 64])
const PARALLEL = 2

const rows = runEndlessPeer.ENDLESS_ROWS.filter(({ shape, connections }) => CONNECTIONS.has(connections) && SMALL_PARTS.test(shape.name) && !shape.name.endsWith('slowly'))

nodeTest.describe('endless peers', { concurrency: PARALLEL }, () => {
  for (const row of rows) {
    nodeTest.it(`a gateway lives within its memory and serves others beside an endless peer: ${row.name}`, async (context) => {
      const { problems, ...observed } = await runEndlessPeer.runEndlessPeer(row)
      context.diagnostic(JSON.stringify(observed))
      assert.deepEqual(problems, [])
    })
  }
})
