import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as createTimeline from './index.js'

nodeTest.test('actions come in the order of their times, and of their adding at the same time', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.nat(20)), (times) => {
    const timeline = createTimeline.createTimeline()
    const seen: Array<readonly [number, number]> = []
    times.forEach((time, order) => { timeline.at(time, () => { seen.push([timeline.now(), order]) }) })
    timeline.run(Infinity)
    const expected = times.map((time, order) => [time, order] as const).sort((left, right) => left[0] - right[0] || left[1] - right[1])
    assert.deepEqual(seen, expected)
  }), { seed: 7 })
})
