/** The estimates of agents that fetch a version after a loss of power. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as simulateOnMockTimers from '../_lib/simulateOnMockTimers.js'

/** Rate in bytes per millisecond of an origin that is slower than an agent's link: 4.38 Mbit/s. */
const NARROW_ORIGIN = 547
/** Gateways assume estimates to be wrong by no more than this fraction of the remaining time; a mean is bounded because pieces arrive in groups. */
const ERROR_FRACTION = 0.3
/** What the estimate adds to the fetch while neither was measured: staging and loading. */
const STAGE_AND_LOAD_MS = 1400

/** Guards against estimates that gateways cannot use: calls would wait in vain, or be refused although engines return in time. */
nodeTest.test('the stated times of a fleet that returns together are wrong by less than three tenths on average', async (context) => {
  for (const agents of [9, 27, 45]) {
    const { estimates } = await simulateOnMockTimers.simulateOnMockTimers(context, { agents, startMs: 300, originBytesPerMs: NARROW_ORIGIN })
    const known = estimates.filter(({ readyInMs, wholeInMs }) => readyInMs !== null && wholeInMs < Infinity)
    const errors = known.map(({ readyInMs, wholeInMs }) => ((readyInMs ?? 0) - wholeInMs - STAGE_AND_LOAD_MS) / (wholeInMs + STAGE_AND_LOAD_MS))
    const mean = errors.reduce((sum, error) => sum + Math.abs(error), 0) / errors.length
    const signed = errors.reduce((sum, error) => sum + error, 0) / errors.length
    const within = errors.filter((error) => Math.abs(error) <= ERROR_FRACTION).length / errors.length
    context.diagnostic(`${agents} agents: ${known.length} of ${estimates.length} times known, mean error ${mean.toFixed(2)}, with sign ${signed.toFixed(2)}, ${within.toFixed(2)} within ${ERROR_FRACTION}`)
    assert.ok(mean <= ERROR_FRACTION, `${agents} agents: mean error ${mean}`)
    assert.ok(known.length >= estimates.length / 2, `${known.length} of ${estimates.length} times known`)
  }
})
