/**
 * Callers saw: 0.4 s after a version was named all gateways refused all calls, for 5 s, although engines held the version before and 8 s were allowed.
 * Order of events: a gateway had been restarted; one of another data hall had heard a single word of its first life, 0.3 s after its start, and now
 * heard the first word of its second life, 0.1 s after that start; the clock had hardly gone back, so the word counted as one that was
 * under way for 38.6 s; the version that it told of counted as named so long ago, and that age went to everybody.
 * Evidence, on the played day: `version-bound` with an age of 38,605 ms at one gateway and within 0.6 s at all daemons; the first life had lasted 38.6 s.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as measureDelays from './measureDelays.js'

const HOST = '10.1.0.4'
const LIFE_MS = 38_600
/** What the receiver's clock showed when the first life began. */
const STARTED_AT = 5000

nodeTest.test('the first word of a second life is not late, although only the first word of the first life was heard', () => {
  const { measure: measureDelay } = measureDelays.createDelayMeasure()
  assert.deepEqual(measureDelay(HOST, 300, STARTED_AT + 300), { delayMs: 0, isNewLife: false })
  assert.deepEqual(measureDelay(HOST, 100, STARTED_AT + LIFE_MS + 100), { delayMs: 0, isNewLife: true })
  assert.deepEqual(measureDelay(HOST, 400, STARTED_AT + LIFE_MS + 420), { delayMs: 20, isNewLife: false })
})

nodeTest.test('a word of the same life that was under way for seconds is late by them', () => {
  const { measure: measureDelay } = measureDelays.createDelayMeasure()
  measureDelay(HOST, 300, STARTED_AT + 300)
  assert.deepEqual(measureDelay(HOST, 60_000, STARTED_AT + 67_300), { delayMs: 7300, isNewLife: false })
  assert.deepEqual(measureDelay(HOST, 90_000, STARTED_AT + 90_000), { delayMs: 0, isNewLife: false })
})

nodeTest.test('a clock that is ahead of what was known of it is told apart, and changes nothing', () => {
  const { measure, compare } = measureDelays.createDelayMeasure()
  assert.equal(compare(HOST, 300, STARTED_AT + 300), null)
  measure(HOST, 300, STARTED_AT + 300)
  assert.equal(compare(HOST, 6300, STARTED_AT + 1300), 5000)
  assert.equal(compare(HOST, 1300, STARTED_AT + 1320), -20)
  assert.deepEqual(measure(HOST, 1300, STARTED_AT + 1320), { delayMs: 20, isNewLife: false })
})
