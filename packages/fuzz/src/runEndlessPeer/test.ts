/** Guards against daemons that end, exceed their memory or leave the calls of others unserved because one of their peers sends without end. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as runEndlessPeer from './index.js'

/** Shapes of many small parts, each of which costs far more than its bytes, and those that are held for long; all of the table by hand with `npm run fuzz -- --endless-peers`. */
const COSTLY_SHAPES = /one byte|16 bytes|each in a chunk|with extensions|one after the other|small events|last byte|metrics/
const PARALLEL = 2

/** Whether a row runs with the other tests. */
function isInTest ({ target, shape, connections }: runEndlessPeer.EndlessRow): boolean {
  if (shape.name.endsWith('slowly')) return false
  if (target === 'gateway') return connections !== 8 && COSTLY_SHAPES.test(shape.name)
  if (target === 'calls' && shape.kind === 'caller' && shape.isUnfinished === true) return connections !== 8
  return connections === 1 && (COSTLY_SHAPES.test(shape.name) || (target === 'keyed calls' && shape.name === 'a body in large chunks'))
}

nodeTest.describe('endless peers', { concurrency: PARALLEL }, () => {
  for (const row of runEndlessPeer.ENDLESS_ROWS.filter(isInTest)) {
    nodeTest.it(`${row.target === 'gateway' ? 'a gateway' : 'a daemon'} lives within its memory and serves others beside an endless peer: ${row.name}`, async (context) => {
      const { problems, ...observed } = await runEndlessPeer.runEndlessPeer(row)
      context.diagnostic(JSON.stringify(observed))
      assert.deepEqual(problems, [])
    })
  }
})
