/**
 * Guards against a restarted sender whose first datagram counts as delayed by its whole first run. A gateway of another hall had received a single
 * datagram of the first run, 0.3 s after its start, and then one of the second run, 0.1 s after its start. The sender's clock had hardly gone
 * back, so the datagram seemed to be in transit for the 38.6 s of the first run, and the version in it counted as 38.6 s old on all daemons.
 * From 0.4 s after the version was announced, all gateways refused all calls for 5 s, although engines held the previous version and the change
 * was allowed to take 8 s.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createDelayEstimator from './createDelayEstimator.js'

const HOST = '10.1.0.4'
const FIRST_RUN_MS = 38_600
/** Time of the receiver's clock, in milliseconds, at the start of the first run. */
const STARTED_AT = 5000

nodeTest.test('the first datagram after a restart is not delayed, although only the first datagram before it was received', () => {
  const { measure: measureDelay } = createDelayEstimator.createDelayEstimator()
  assert.deepEqual(measureDelay(HOST, { sentAt: 300, incarnation: null }, STARTED_AT + 300), { delayMs: 0, isRestarted: false })
  assert.deepEqual(measureDelay(HOST, { sentAt: 100, incarnation: null }, STARTED_AT + FIRST_RUN_MS + 100), { delayMs: 0, isRestarted: true })
  assert.deepEqual(measureDelay(HOST, { sentAt: 400, incarnation: null }, STARTED_AT + FIRST_RUN_MS + 420), { delayMs: 20, isRestarted: false })
})

nodeTest.test('a datagram of the same run that was in transit for seconds is delayed by them', () => {
  const { measure: measureDelay } = createDelayEstimator.createDelayEstimator()
  measureDelay(HOST, { sentAt: 300, incarnation: null }, STARTED_AT + 300)
  assert.deepEqual(measureDelay(HOST, { sentAt: 60_000, incarnation: null }, STARTED_AT + 67_300), { delayMs: 7300, isRestarted: false })
  assert.deepEqual(measureDelay(HOST, { sentAt: 90_000, incarnation: null }, STARTED_AT + 90_000), { delayMs: 0, isRestarted: false })
})

nodeTest.test('a clock that is ahead of what was known of it is reported, and nothing is recorded', () => {
  const { measure, compareClock } = createDelayEstimator.createDelayEstimator()
  assert.equal(compareClock(HOST, { sentAt: 300, incarnation: null }, STARTED_AT + 300), null)
  measure(HOST, { sentAt: 300, incarnation: null }, STARTED_AT + 300)
  assert.equal(compareClock(HOST, { sentAt: 6300, incarnation: null }, STARTED_AT + 1300), 5000)
  assert.equal(compareClock(HOST, { sentAt: 1300, incarnation: null }, STARTED_AT + 1320), -20)
  assert.deepEqual(measure(HOST, { sentAt: 1300, incarnation: null }, STARTED_AT + 1320), { delayMs: 20, isRestarted: false })
})

nodeTest.test('a datagram of another incarnation is not delayed, however close its clock is to that of the first one', () => {
  const first = types.brandId<types.IncarnationId>('a')
  const second = types.brandId<types.IncarnationId>('b')
  const { measure, compareClock } = createDelayEstimator.createDelayEstimator()
  assert.deepEqual(measure(HOST, { sentAt: 900, incarnation: first }, STARTED_AT + 900), { delayMs: 0, isRestarted: false })
  assert.equal(compareClock(HOST, { sentAt: 100, incarnation: second }, STARTED_AT + 3500), null)
  assert.deepEqual(measure(HOST, { sentAt: 100, incarnation: second }, STARTED_AT + 3500), { delayMs: 0, isRestarted: true })
  assert.deepEqual(measure(HOST, { sentAt: 400, incarnation: second }, STARTED_AT + 3820), { delayMs: 20, isRestarted: false })
})

nodeTest.test('a datagram that arrives long after a later one of its incarnation is delayed, and no restart', () => {
  const incarnation = types.brandId<types.IncarnationId>('a')
  const { measure } = createDelayEstimator.createDelayEstimator()
  measure(HOST, { sentAt: 5000, incarnation }, STARTED_AT + 5000)
  assert.deepEqual(measure(HOST, { sentAt: 3000, incarnation }, STARTED_AT + 5100), { delayMs: 2100, isRestarted: false })
})
