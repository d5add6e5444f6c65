import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createSizeClasses from './index.js'

function classifyAll (classes: createSizeClasses.SizeClasses, route: string, sizes: readonly number[]): Record<createSizeClasses.SizeClass, number> {
  const counts = { usual: 0, large: 0, largest: 0 }
  for (const size of sizes) counts[classes.classify(route, size)] += 1
  return counts
}

const SPREAD = Array.from({ length: 200 }, (_, at) => (at * 37) % 200)

/** Guards against limits that follow sizes of long ago, or those of another route. */
nodeTest.test('a tenth of the calls of a route is largest and a fifth is large, also after its sizes have changed', () => {
  const classes = createSizeClasses.createSizeClasses()
  assert.equal(classifyAll(classes, 'r', SPREAD.slice(0, 19)).usual, 19)
  classifyAll(classes, 'r', SPREAD)
  assert.deepEqual(classifyAll(classes, 'r', SPREAD), { usual: 140, large: 40, largest: 20 })
  classifyAll(classes, 'r', SPREAD.map((size) => size * 10))
  assert.deepEqual(classifyAll(classes, 'r', SPREAD.map((size) => size * 10)), { usual: 140, large: 40, largest: 20 })
  assert.equal(classes.classify('other', 1e6), 'usual')
})

/** Guards against calls of one size that count as larger than each other. */
nodeTest.test('calls of equal sizes are all usual', () => {
  const classes = createSizeClasses.createSizeClasses()
  assert.equal(classifyAll(classes, 'r', Array.from({ length: 100 }, () => 7)).usual, 100)
})
