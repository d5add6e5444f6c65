import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createTokenBucket from './index.js'

nodeTest.test('a bucket gives its tokens at its rate, and no more than it keeps after a lull', () => {
  let time = 0
  const bucket = createTokenBucket.createTokenBucket({ perSecond: 2, capacity: 3, tokens: 1, now: () => time })
  assert.deepEqual([bucket.tryTake(), bucket.tryTake()], [true, false])
  assert.equal(bucket.waitMs(), 500)
  time = 500
  assert.equal(bucket.tryTake(), true)
  time = 100_000
  assert.deepEqual([1, 2, 3, 4].map(() => bucket.tryTake()), [true, true, true, false])
})

nodeTest.test('a token may be taken from a fuller bucket only', () => {
  const bucket = createTokenBucket.createTokenBucket({ perSecond: 1, capacity: 3, tokens: 2, now: () => 0 })
  assert.deepEqual([bucket.tryTake(2.5), bucket.tryTake(2), bucket.tryTake(2)], [false, true, false])
})

nodeTest.test('another rate holds from the time at which it is set', () => {
  let time = 0
  const bucket = createTokenBucket.createTokenBucket({ perSecond: 1, capacity: 10, tokens: 0, now: () => time })
  time = 2000
  bucket.setRate(10, 1)
  assert.deepEqual([bucket.tryTake(), bucket.tryTake()], [true, false])
  assert.equal(bucket.waitMs(), 100)
})
