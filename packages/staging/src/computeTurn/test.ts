import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as computeTurn from './index.js'

/** Whole too late for turns in a row. */
const LATE = { held: 1, rank: 0, engines: 10, wholeAt: 3000, boundAt: 8000 }
/** Whole early enough for them. */
const EARLY = { ...LATE, wholeAt: 1000, boundAt: 13_400 }
const FLEETS = [1, 3, 15, 50, 143]
/** An engine takes nothing new for so long while it changes: it finishes what runs, or breaks it off. */
const OUT_MS = { finish: 1300, 'break-off': 400 }
/** More are never out at once, but for one engine. */
const OUT_PART = 0.45
/** An order is given so long before the bound at the latest. */
const LAST_ORDER_MS = 1600

type Change = (rank: number) => Partial<computeTurn.TurnInput>

function computeAll (input: computeTurn.TurnInput, change: Change = () => ({})): computeTurn.Turn[] {
  return Array.from({ length: input.engines }, (_, rank) => computeTurn.computeTurn({ ...input, rank, ...change(rank) }))
}

/** The largest number of engines that are out at the same time. */
function countOut (turns: readonly computeTurn.Turn[]): number {
  const isOut = (turn: computeTurn.Turn, at: number): boolean => turn.at <= at && at < turn.at + OUT_MS[turn.method]
  return Math.max(...turns.map(({ at }) => turns.filter((turn) => isOut(turn, at)).length))
}

nodeTest.test('with time enough engines change one after the other, finish what runs, and few are out at once', () => {
  for (const engines of FLEETS) {
    const turns = computeAll({ ...EARLY, engines })
    assert.ok(turns.every((turn) => turn.method === 'finish' && turn.at >= EARLY.wholeAt && turn.at <= EARLY.boundAt - LAST_ORDER_MS))
    assert.ok(countOut(turns) <= Math.max(1, OUT_PART * engines), `${countOut(turns)} of ${engines}`)
  }
})

nodeTest.test('the shortest time in which engines change one after the other keeps more than half of them in service', () => {
  for (const engines of FLEETS) {
    const turns = computeAll({ ...EARLY, engines, wholeAt: EARLY.boundAt - 5500 })
    assert.ok(turns.every((turn) => turn.method === 'finish'))
    assert.ok(countOut(turns) <= Math.max(1, OUT_PART * engines + 1), `${countOut(turns)} of ${engines}`)
  }
})

nodeTest.test('engines that are whole at different times change after they are, and before the bound', () => {
  for (const engines of FLEETS) {
    const spread = (rank: number): number => 1000 + rank % 5 * 1500
    const turns = computeAll({ ...EARLY, engines }, (rank) => ({ wholeAt: spread(rank) }))
    turns.forEach((turn, rank) => { assert.ok(turn.at >= spread(rank) && turn.at <= EARLY.boundAt - LAST_ORDER_MS) })
    assert.ok(countOut(turns) <= Math.max(1, OUT_PART * engines + 1), `${countOut(turns)} of ${engines}`)
  }
})

nodeTest.test('an agent that falls out moves the turns of the others by at most their part of the row', () => {
  const before = computeAll({ ...EARLY, engines: 15 })
  const after = computeAll({ ...EARLY, engines: 14 })
  after.forEach((turn, rank) => { assert.ok(Math.abs(turn.at - (before[rank]?.at ?? 0)) <= (EARLY.boundAt - EARLY.wholeAt) / 14) })
})

nodeTest.test('with too little time turns come in waves of a third of the engines and begin before the bound', () => {
  const turns = computeAll(LATE).map((turn) => turn.at)
  assert.deepEqual(turns, [...turns].sort((left, right) => left - right))
  assert.deepEqual([...new Set(turns)].map((at) => turns.filter((turn) => turn === at).length), [4, 3, 3])
  assert.ok(turns.every((turn) => turn > 4000 && turn < 7000))
})

nodeTest.test('no turn comes before the version is whole, and an empty engine goes at once', () => {
  assert.equal(computeTurn.computeTurn({ ...LATE, wholeAt: 7000 }).at, 7000)
  assert.equal(computeTurn.computeTurn({ ...LATE, held: 0 }).at, 3000)
  assert.equal(computeTurn.computeTurn({ ...LATE, boundAt: Infinity }).at, 3000)
})

nodeTest.test('calls are broken off only where and while engines that change later can take them up', () => {
  const methods = computeAll(LATE).map((turn) => turn.method)
  assert.equal(methods[0], 'break-off')
  assert.equal(methods[9], 'finish')
  assert.equal(methods.lastIndexOf('break-off') + 1, methods.indexOf('finish'))
  assert.ok(computeAll({ ...LATE, wholeAt: 7000 }).every((turn) => turn.method === 'finish'))
  assert.equal(computeTurn.computeTurn({ ...LATE, engines: 1 }).method, 'finish')
  assert.equal(computeTurn.computeTurn({ ...LATE, held: 0 }).method, 'finish')
})
