import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createSizeClasses from './index.js'

function countClasses (classes: createSizeClasses.SizeClasses, sizes: readonly number[]): Record<createSizeClasses.SizeClass, number> {
  const counts = { usual: 0, large: 0, largest: 0 }
  for (const size of sizes) counts[classes.classify(size)] += 1
  return counts
}

const SPREAD = Array.from({ length: 200 }, (_, at) => (at * 37) % 200)

/** Guards against limits that follow sizes of long ago. */
nodeTest.test('a tenth of the calls is largest and a quarter is large, also after sizes have changed', () => {
  const classes = createSizeClasses.createSizeClasses()
  assert.equal(countClasses(classes, SPREAD.slice(0, 9)).usual, 9)
  countClasses(classes, SPREAD)
  assert.deepEqual(countClasses(classes, SPREAD), { usual: 130, large: 50, largest: 20 })
  const longer = SPREAD.map((size) => size * 10)
  countClasses(classes, longer)
  assert.deepEqual(countClasses(classes, longer), { usual: 130, large: 50, largest: 20 })
})

/** Guards against calls of one size that count as larger than each other. */
nodeTest.test('calls of equal sizes are all usual', () => {
  assert.equal(countClasses(createSizeClasses.createSizeClasses(), Array.from({ length: 100 }, () => 7)).usual, 100)
})
