import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as types from '@switchridge/types'
import * as planPath from './index.js'

const LAYERS = 16

function hold (id: string, from: number, to: number, costMs = 0): planPath.LayerHolder {
  return {
    from,
    to,
    costMs,
    backEnd: { id: types.brandId(id), service: types.brandId('llm'), address: { host: id, port: 1 }, zone: 'a', slots: 16, isDraining: false, models: new Map() }
  }
}

function idsOf (path: readonly planPath.LayerHolder[] | null): string[] | null {
  return path === null ? null : path.map(({ backEnd }) => backEnd.id)
}

nodeTest.test('two halves make a path, and the cheaper second half is taken', () => {
  const others = [hold('dear', 8, 16, 300), hold('cheap', 8, 16, 25), hold('front', 0, 8)]
  const path = planPath.planPath(hold('first', 0, 8), others, LAYERS)
  assert.deepEqual(idsOf(path), ['first', 'cheap'])
  assert.deepEqual(planPath.listSteps(path ?? []), [
    { address: { host: 'first', port: 1 }, from: 0, to: 8 },
    { address: { host: 'cheap', port: 1 }, from: 8, to: 16 }
  ])
})

nodeTest.test('nothing serves while a layer is missing, or when the call would not begin at the first layer', () => {
  assert.equal(planPath.planPath(hold('first', 0, 8), [hold('late', 9, 16)], LAYERS), null)
  assert.equal(planPath.planPath(hold('back', 8, 16), [hold('front', 0, 8)], LAYERS), null)
  const quarters = [1, 2, 3, 4, 5].map((index) => hold(`q${index}`, index * 3, index * 3 + 3))
  assert.equal(planPath.planPath(hold('first', 0, 3), quarters, LAYERS), null, 'more steps than are taken')
})

nodeTest.test('every path covers each layer once and in order, with layers that its engines hold', () => {
  const holders = fastCheck.array(fastCheck.tuple(fastCheck.nat(LAYERS - 1), fastCheck.integer({ min: 1, max: LAYERS }), fastCheck.nat(100)), { maxLength: 12 })
  fastCheck.assert(fastCheck.property(holders, (drawn) => {
    const held = drawn.filter(([from, to]) => from < to).map(([from, to, costMs], index) => hold(`e${index}`, from, to, costMs))
    for (const first of held) {
      const path = planPath.planPath(first, held, LAYERS)
      if (path === null) continue
      const steps = planPath.listSteps(path)
      assert.deepEqual(steps.flatMap(({ from, to }) => Array.from({ length: to - from }, (_, index) => from + index)), Array.from({ length: LAYERS }, (_, index) => index))
      for (const [index, step] of steps.entries()) assert.ok((path[index]?.from ?? Infinity) <= step.from)
      assert.equal(new Set(path.map(({ backEnd }) => backEnd.id)).size, path.length)
    }
  }), { seed: 7, numRuns: 300 })
})
