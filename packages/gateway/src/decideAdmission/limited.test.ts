/**
 * Rate-limited engines under overload. Four of nine engines advertise a limit of 1 request per second, and callers retry once. At 40, 60, 80 and 106
 * calls per second, gateways that ignore the limit serve 41, 59, 70 and 71 per second in time, but send 31 to 47 requests in some four-second window to
 * an engine that allows 11; gateways that respect it serve 39, 42, 45 and 47 and send at most 5. Five engines alone serve 41 to 43 per second, so 46 or
 * 47 is the most that five engines and four limits allow.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as loadSimulation from '../_lib/loadSimulation.js'

const PER_SECOND = 1
const ALLOWED_REQUESTS = 6 * PER_SECOND + 5
const FLEET = { halls: 3, gateways: 7, engines: 9, seconds: 20, doCallersRetry: true }
const LOADS = [40, 60, 80, 106]
const PEAK_FRACTION = 0.9

nodeTest.test('responses in time do not fall as load rises while half of the engines advertise a rate limit, which is respected', (context) => {
  let peak = 0
  for (const callsPerSecond of LOADS) {
    const result = loadSimulation.simulateLoad({ ...FLEET, callsPerSecond, limited: { count: 4, perSecond: PER_SECOND, isEnforced: true } })
    context.diagnostic(`${callsPerSecond} asked a second: ${result.inTime.toFixed(1)} in time, ${result.late.toFixed(1)} late, ${result.refused.toFixed(1)} refused; most ${result.maximumLimitedRequests} in four seconds`)
    assert.ok(result.maximumLimitedRequests <= ALLOWED_REQUESTS)
    assert.ok(result.inTime >= PEAK_FRACTION * peak, `${result.inTime} of ${peak} a second in time`)
    peak = Math.max(peak, result.inTime)
  }
})

/**
 * Guards against permits that go to the first request: refused callers took them when they retried, too late to be answered in time. Then 0.0, 5.8, 12.9
 * and 51.1 calls per second were in time; with permits reserved for calls that can be in time, 3.8, 7.6, 15.9 and 52.6.
 */
nodeTest.test('if all engines advertise rate limits, permits go to calls that can be answered in time', (context) => {
  for (const [perSecond, minimumFraction] of [[0.5, 0.65], [1, 0.65], [2, 0.65], [6, 0.9]] as const) {
    const limits = FLEET.engines * perSecond
    const result = loadSimulation.simulateLoad({ ...FLEET, callsPerSecond: Math.min(2.5 * limits, 99), limited: { count: FLEET.engines, perSecond, isEnforced: true } })
    context.diagnostic(`limits of ${limits} a second: ${result.inTime.toFixed(1)} in time, ${result.late.toFixed(1)} late, ${result.refused.toFixed(1)} refused`)
    assert.ok(result.inTime >= minimumFraction * limits, `${result.inTime} of ${limits} a second in time`)
  }
})
