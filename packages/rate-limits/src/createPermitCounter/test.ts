import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createPermitCounter from './index.js'

const LIFE = types.brandId<types.BackEndLife>('engine-1')

interface Opened {
  time: number
  readonly take: (perSecond: number, heardAt?: number, part?: number) => number
}

/** Takes permits; each gives 0, or the milliseconds to wait. */
function open (): Opened {
  const opened = { time: 1000 } as { time: number, take: Opened['take'] }
  const counter = createPermitCounter.createPermitCounter(() => opened.time)
  opened.take = (perSecond, heardAt = 0, part = 1) => {
    const answer = counter.take({ life: LIFE, perSecond, heardAt }, part)
    return answer.isGranted ? 0 : answer.waitMs
  }
  return opened
}

nodeTest.test('a counter begins with nothing in hand, since another one may have counted before', () => {
  const opened = open()
  assert.equal(opened.take(2), 500)
  opened.time += 500
  assert.equal(opened.take(2), 0)
})

nodeTest.test('those that wait are told times one after the other, none too far off', () => {
  const opened = open()
  assert.deepEqual([opened.take(4), opened.take(4), opened.take(4)], [250, 500, 750])
  for (let asked = 0; asked < 50; asked += 1) assert.ok(opened.take(4) <= 1000)
})

nodeTest.test('permits that nobody asks for are kept for a quarter of a second, and one more', () => {
  const opened = open()
  opened.take(8)
  opened.time += 60_000 - 1
  const granted = [1, 2, 3, 4].map(() => opened.take(8)).filter((waitMs) => waitMs === 0)
  assert.equal(granted.length, 3)
})

nodeTest.test('the limit that was heard last holds, whoever asks', () => {
  const opened = open()
  assert.equal(opened.take(1, 10), 1000)
  opened.time += 2000
  assert.equal(opened.take(10, 20), 0)
  opened.time += 100
  assert.equal(opened.take(1, 10), 0)
})

nodeTest.test('a back end that takes next to nothing still gets a request every five seconds', () => {
  const opened = open()
  assert.equal(opened.take(0.001), 5000)
})

nodeTest.test('who counts in place of another gives a part only', () => {
  const opened = open()
  assert.equal(opened.take(4, 0, 0.25), 1000)
})

nodeTest.test('a call that can no longer be in time gets what others leave, and takes no turn from them', () => {
  let time = 0
  const counter = createPermitCounter.createPermitCounter(() => time)
  const limit = { life: LIFE, perSecond: 8, heardAt: 0 }
  counter.take(limit, 1)
  time = 250
  assert.equal(counter.take(limit, 1, true).isGranted, false)
  assert.equal(counter.take(limit, 1).isGranted, true)
  time = 1000
  assert.equal(counter.take(limit, 1, true).isGranted, true)
})
