import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as computeTurn from './index.js'

const INPUT = { held: 1, rank: 0, engines: 10, wholeAt: 1000, boundAt: 8000 }

nodeTest.test('turns are spread and end before the bound', () => {
  const turns = Array.from({ length: 10 }, (_, rank) => computeTurn.computeTurn({ ...INPUT, rank }))
  assert.deepEqual(turns, [...turns].sort((left, right) => left - right))
  assert.equal(new Set(turns).size, 10)
  assert.ok(turns.every((turn) => turn > 4000 && turn < 6500))
})

nodeTest.test('no turn comes before the version is whole, and an empty engine goes at once', () => {
  assert.equal(computeTurn.computeTurn({ ...INPUT, wholeAt: 7000 }), 7000)
  assert.equal(computeTurn.computeTurn({ ...INPUT, held: 0 }), 1000)
  assert.equal(computeTurn.computeTurn({ ...INPUT, boundAt: Infinity }), 1000)
})
