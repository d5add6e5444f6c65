import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as computeTurn from './index.js'

const INPUT = { held: 1, rank: 0, engines: 10, wholeAt: 1000, boundAt: 8000 }

function computeAll (change: Partial<computeTurn.TurnInput> = {}): computeTurn.Turn[] {
  return Array.from({ length: INPUT.engines }, (_, rank) => computeTurn.computeTurn({ ...INPUT, ...change, rank }))
}

/** An engine that breaks calls off is out of service for so long. */
const OUT_MS = 700

nodeTest.test('of the engines that break calls off few are out of service at a time, and all turns begin before the bound', () => {
  for (const [wholeAt, mostOut] of [[1000, 2], [4300, 4]] as const) {
    const turns = computeAll({ wholeAt })
    const times = turns.map((turn) => turn.at)
    assert.deepEqual(times, [...times].sort((left, right) => left - right))
    assert.ok(times.every((at) => at >= wholeAt && at < 7000))
    const early = turns.filter((turn) => turn.method === 'break-off').map((turn) => turn.at)
    assert.equal(early.length, 7)
    for (const at of early) assert.ok(early.filter((other) => other <= at && other > at - OUT_MS).length <= mostOut, `${wholeAt}: ${early.join()}`)
    const last = turns.filter((turn) => turn.method === 'finish').map((turn) => turn.at)
    assert.ok(last.every((at) => at >= Math.max(...early) + OUT_MS / 2), 'the others serve when the last ones end what runs')
  }
})

nodeTest.test('no turn comes before the version is whole, and an empty engine goes at once', () => {
  assert.equal(computeTurn.computeTurn({ ...INPUT, wholeAt: 7000 }).at, 7000)
  assert.equal(computeTurn.computeTurn({ ...INPUT, held: 0 }).at, 1000)
  assert.equal(computeTurn.computeTurn({ ...INPUT, boundAt: Infinity }).at, 1000)
})

nodeTest.test('calls are broken off only where and while engines that change later can take them up', () => {
  const methods = computeAll().map((turn) => turn.method)
  assert.equal(methods[0], 'break-off')
  assert.equal(methods[9], 'finish')
  assert.equal(methods.lastIndexOf('break-off') + 1, methods.indexOf('finish'))
  assert.ok(computeAll({ wholeAt: 7000 }).every((turn) => turn.method === 'finish'))
  assert.equal(computeTurn.computeTurn({ ...INPUT, engines: 1 }).method, 'finish')
  assert.equal(computeTurn.computeTurn({ ...INPUT, held: 0 }).method, 'finish')
})
