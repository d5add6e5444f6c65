/** Guards against callers being served worse because gateways keep the backoffs that engines ask for, and tell each other. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as loadSimulation from '../_lib/loadSimulation.js'

const SEEDS = [1, 2, 3]
const SECONDS = 14

/** Calls answered in time, and calls that an engine rejected at their last attempt, per second; means over the seeds. */
function simulate (backoff: 'ignored' | 'kept' | 'shared', size: { readonly halls: number, readonly gateways: number, readonly engines: number }, callsPerSecond: number): { inTime: number, rejected: number } {
  const results = SEEDS.map((seed) => loadSimulation.simulateLoad({ ...size, callsPerSecond, seconds: SECONDS, seed, shedding: { count: Math.floor(size.engines / 3), backoff } }))
  const mean = (read: (result: loadSimulation.LoadResult) => number): number => results.reduce((sum, result) => sum + read(result), 0) / SEEDS.length
  return { inTime: mean(({ inTime }) => inTime), rejected: mean(({ rejected }) => rejected) }
}

for (const [size, callsPerSecond] of [[{ halls: 3, gateways: 7, engines: 9 }, 50], [{ halls: 3, gateways: 7, engines: 9 }, 100], [{ halls: 4, gateways: 40, engines: 90 }, 700]] as const) {
  nodeTest.test(`at ${callsPerSecond} calls a second to ${size.engines} engines, of which a third turns calls away, callers are served better if that is kept than if it is ignored, and best if it is shared`, (context) => {
    const [ignored, kept, shared] = (['ignored', 'kept', 'shared'] as const).map((backoff) => simulate(backoff, size, callsPerSecond)) as [ReturnType<typeof simulate>, ReturnType<typeof simulate>, ReturnType<typeof simulate>]
    for (const [name, { inTime, rejected }] of Object.entries({ ignored, kept, shared })) context.diagnostic(`${name}: ${inTime.toFixed(1)} in time, ${rejected.toFixed(1)} rejected a second`)
    assert.ok(kept.inTime >= ignored.inTime)
    assert.ok(kept.rejected < ignored.rejected)
    assert.ok(shared.inTime >= kept.inTime)
    assert.ok(shared.rejected <= kept.rejected)
  })
}
