import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createTokenBucket from './index.js'

nodeTest.test('tokens are added at the rate, and idle time fills the bucket only up to its capacity', () => {
  let time = 0
  const bucket = createTokenBucket.createTokenBucket({ perSecond: 2, capacity: 3, tokens: 1, now: () => time })
  assert.deepEqual([bucket.tryTake(), bucket.tryTake()], [true, false])
  assert.equal(bucket.waitMs(), 500)
  time = 500
  assert.equal(bucket.tryTake(), true)
  time = 100_000
  assert.deepEqual([1, 2, 3, 4].map(() => bucket.tryTake()), [true, true, true, false])
})

nodeTest.test('a token is taken only if the bucket holds the minimum asked for', () => {
  const bucket = createTokenBucket.createTokenBucket({ perSecond: 1, capacity: 3, tokens: 2, now: () => 0 })
  assert.deepEqual([bucket.tryTake(2.5), bucket.tryTake(2), bucket.tryTake(2)], [false, true, false])
})

nodeTest.test('a new rate and capacity apply from the time at which they are set', () => {
  let time = 0
  const bucket = createTokenBucket.createTokenBucket({ perSecond: 1, capacity: 10, tokens: 0, now: () => time })
  time = 2000
  bucket.setRate(10, 1)
  assert.deepEqual([bucket.tryTake(), bucket.tryTake()], [true, false])
  assert.equal(bucket.waitMs(), 100)
})
