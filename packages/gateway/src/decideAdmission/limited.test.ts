/**
 * What callers get while four of nine engines name a limit of 1 a second, counted from the first try; callers come back once. In time a second, at 40, 60, 80 and 106
 * asked: 41, 59, 70 and 71 where gateways ignore the limit, with 31 to 47 requests in some four seconds at an engine that allows 11; 39, 42, 45 and 47 where they keep it,
 * with 5 at the most. Five engines alone do 41 to 43, so 46 or 47 is what five and four limits allow.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as loadSimulation from '../_lib/loadSimulation.js'

const PER_SECOND = 1
const ALLOWED = 6 * PER_SECOND + 5
const FLEET = { halls: 3, gateways: 7, engines: 9, seconds: 20, areReturning: true }
const LOADS = [40, 60, 80, 106]
const KEPT_PART = 0.9

nodeTest.test('answers in time do not fall with the load while half of the engines name a limit, which is kept', (context) => {
  let peak = 0
  for (const callsPerSecond of LOADS) {
    const result = loadSimulation.playLoad({ ...FLEET, callsPerSecond, limited: { count: 4, perSecond: PER_SECOND, isKept: true } })
    context.diagnostic(`${callsPerSecond} asked a second: ${result.inTime.toFixed(1)} in time, ${result.late.toFixed(1)} late, ${result.refused.toFixed(1)} refused; most ${result.mostLimited} in four seconds`)
    assert.ok(result.mostLimited <= ALLOWED)
    assert.ok(result.inTime >= KEPT_PART * peak, `${result.inTime} of ${peak} a second in time`)
    peak = Math.max(peak, result.inTime)
  }
})
