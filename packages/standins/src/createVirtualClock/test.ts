import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as createVirtualClock from './index.js'

nodeTest.test('actions run in order of their times, and in scheduling order at the same time', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.nat(20)), (times) => {
    const clock = createVirtualClock.createVirtualClock()
    const calls: Array<readonly [number, number]> = []
    times.forEach((time, order) => { clock.at(time, () => { calls.push([clock.now(), order]) }) })
    clock.run(Infinity)
    const expected = times.map((time, order) => [time, order] as const).sort((left, right) => left[0] - right[0] || left[1] - right[1])
    assert.deepEqual(calls, expected)
  }), { seed: 7 })
})

nodeTest.test('the clock can advance in steps, and an action runs only when it is due', () => {
  const clock = createVirtualClock.createVirtualClock()
  const calls: number[] = []
  for (const time of [5, 10, 15]) clock.at(time, () => { calls.push(clock.now()) })
  clock.run(4)
  assert.deepEqual([clock.now(), calls], [4, []])
  clock.run(12)
  assert.deepEqual([clock.now(), calls], [12, [5, 10]])
  clock.run(Infinity)
  assert.deepEqual([clock.now(), calls], [15, [5, 10, 15]])
})
