import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as computeTurn from './index.js'

/** Complete too late for a rolling change. */
const LATE = { held: 1, rank: 0, engines: 10, completeAt: 3000, deadlineAt: 8000 }
/** Complete early enough for a rolling change. */
const EARLY = { ...LATE, completeAt: 1000, deadlineAt: 13_400 }
const FLEET_SIZES = [1, 3, 15, 50, 143]
/** How long an engine accepts no new calls while it changes, by what it does with running ones. */
const UNAVAILABLE_MS = { finish: 1300, 'break-off': 400 }
/** Largest fraction of the engines that may be unavailable at once; one engine always may. */
const UNAVAILABLE_FRACTION = 0.45
/** Shortest time between an order and the deadline. */
const LAST_ORDER_LEAD_MS = 1600

type Change = (rank: number) => Partial<computeTurn.TurnInput>

function computeAll (input: computeTurn.TurnInput, change: Change = () => ({})): computeTurn.Turn[] {
  return Array.from({ length: input.engines }, (_, rank) => computeTurn.computeTurn({ ...input, rank, ...change(rank) }))
}

/** The largest number of engines that are unavailable at the same time. */
function countUnavailable (turns: readonly computeTurn.Turn[]): number {
  const isUnavailable = (turn: computeTurn.Turn, at: number): boolean => turn.at <= at && at < turn.at + UNAVAILABLE_MS[turn.method]
  return Math.max(...turns.map(({ at }) => turns.filter((turn) => isUnavailable(turn, at)).length))
}

nodeTest.test('with enough time, engines change one after the other, complete running calls, and few are unavailable at once', () => {
  for (const engines of FLEET_SIZES) {
    const turns = computeAll({ ...EARLY, engines })
    assert.ok(turns.every((turn) => turn.method === 'finish' && turn.at >= EARLY.completeAt && turn.at <= EARLY.deadlineAt - LAST_ORDER_LEAD_MS))
    assert.ok(countUnavailable(turns) <= Math.max(1, UNAVAILABLE_FRACTION * engines), `${countUnavailable(turns)} of ${engines}`)
  }
})

nodeTest.test('the shortest rolling change keeps more than half of the engines available', () => {
  for (const engines of FLEET_SIZES) {
    const turns = computeAll({ ...EARLY, engines, completeAt: EARLY.deadlineAt - 5500 })
    assert.ok(turns.every((turn) => turn.method === 'finish'))
    assert.ok(countUnavailable(turns) <= Math.max(1, UNAVAILABLE_FRACTION * engines + 1), `${countUnavailable(turns)} of ${engines}`)
  }
})

nodeTest.test('engines whose versions are complete at different times change after that and before the deadline', () => {
  for (const engines of FLEET_SIZES) {
    const completeAtOf = (rank: number): number => 1000 + rank % 5 * 1500
    const turns = computeAll({ ...EARLY, engines }, (rank) => ({ completeAt: completeAtOf(rank) }))
    turns.forEach((turn, rank) => { assert.ok(turn.at >= completeAtOf(rank) && turn.at <= EARLY.deadlineAt - LAST_ORDER_LEAD_MS) })
    assert.ok(countUnavailable(turns) <= Math.max(1, UNAVAILABLE_FRACTION * engines + 1), `${countUnavailable(turns)} of ${engines}`)
  }
})

nodeTest.test('an agent that leaves moves the turns of the others by at most one step of the rolling change', () => {
  const before = computeAll({ ...EARLY, engines: 15 })
  const after = computeAll({ ...EARLY, engines: 14 })
  after.forEach((turn, rank) => { assert.ok(Math.abs(turn.at - (before[rank]?.at ?? 0)) <= (EARLY.deadlineAt - EARLY.completeAt) / 14) })
})

nodeTest.test('with too little time, engines change in waves of a third of them, which begin before the deadline', () => {
  const turns = computeAll(LATE).map((turn) => turn.at)
  assert.deepEqual(turns, [...turns].sort((left, right) => left - right))
  assert.deepEqual([...new Set(turns)].map((at) => turns.filter((turn) => turn === at).length), [4, 3, 3])
  assert.ok(turns.every((turn) => turn > 4000 && turn < 7000))
})

nodeTest.test('no turn comes before the version is complete, and an engine without a version changes at once', () => {
  assert.equal(computeTurn.computeTurn({ ...LATE, completeAt: 7000 }).at, 7000)
  assert.equal(computeTurn.computeTurn({ ...LATE, held: 0 }).at, 3000)
  assert.equal(computeTurn.computeTurn({ ...LATE, deadlineAt: Infinity }).at, 3000)
})

nodeTest.test('calls are aborted only while engines that change later can continue them', () => {
  const methods = computeAll(LATE).map((turn) => turn.method)
  assert.equal(methods[0], 'break-off')
  assert.equal(methods[9], 'finish')
  assert.equal(methods.lastIndexOf('break-off') + 1, methods.indexOf('finish'))
  assert.ok(computeAll({ ...LATE, completeAt: 7000 }).every((turn) => turn.method === 'finish'))
  assert.equal(computeTurn.computeTurn({ ...LATE, engines: 1 }).method, 'finish')
  assert.equal(computeTurn.computeTurn({ ...LATE, held: 0 }).method, 'finish')
})
