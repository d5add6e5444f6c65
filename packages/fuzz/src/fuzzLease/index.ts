/** Fuzzes lease holders that may pause at any time, with an engine that doesn't check fences. Checks that no order arrives while another holder has the lease. */
import * as fc from 'fast-check'
import * as platform from '@switchridge/store'
import type * as fuzzOptions from '../_lib/fuzzOptions.js'

/** Duration and safety margin of a lease; tests pass an unsafe margin to check that the fuzzer detects it. */
export interface LeaseTimings {
  readonly durationMs: number
  readonly marginMs: number
}

export const SAFE_TIMINGS: LeaseTimings = { durationMs: 400, marginMs: 200 }
/** Maximum delay of an order in milliseconds; within the margin. */
const MAX_ORDER_MS = 200
const HOLDERS = 2

const stepArbitrary = fc.oneof(
  fc.record({ kind: fc.constant('acquire' as const), holder: fc.nat(HOLDERS - 1) }),
  fc.record({ kind: fc.constant('order' as const), holder: fc.nat(HOLDERS - 1), delay: fc.constantFrom(1, MAX_ORDER_MS / 2, MAX_ORDER_MS - 1) }),
  fc.record({ kind: fc.constant('release' as const), holder: fc.nat(HOLDERS - 1) }),
  fc.record({ kind: fc.constant('pass' as const), time: fc.constantFrom(40, 160) })
)

/**
 * Fuzzes leases.
 *
 * @param options - Seed and number of runs.
 * @param timings - Duration and margin under test.
 * @returns Resolves if no order reaches the engine after another holder acquired the lease; rejects otherwise.
 */
export async function fuzzLease (options: fuzzOptions.FuzzOptions, timings: LeaseTimings = SAFE_TIMINGS): Promise<void> {
  await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { minLength: 20, maxLength: 60 }), async (steps) => {
    let time = 0
    const store = platform.createMemoryObjectStore()
    const leases = Array.from({ length: HOLDERS }, (_, holder) => platform.createLease(store, 'engine', `holder-${holder}`, { ...timings, now: () => time }))
    let owner = -1
    let generation = 0
    const inFlight: Array<{ readonly holder: number, readonly at: number }> = []

    const deliver = (until: number): void => {
      for (const order of inFlight.filter((each) => each.at <= until)) {
        if (order.holder !== owner) throw new Error(`an order of holder ${order.holder} reached the engine while ${owner} had the lease`)
      }
      inFlight.splice(0, inFlight.length, ...inFlight.filter((each) => each.at > until))
    }

    for (const step of steps) {
      if (step.kind === 'pass') {
        deliver(time + step.time)
        time += step.time
      } else if (step.kind === 'acquire') {
        const acquired = await leases[step.holder]?.acquire()
        if (acquired?.ok !== true) continue
        if (acquired.value < generation) throw new Error('the generation of the lease decreased')
        if (acquired.value === generation && owner !== step.holder) throw new Error('two holders acquired the lease with the same generation')
        owner = step.holder
        generation = acquired.value
      } else if (step.kind === 'order') {
        if (leases[step.holder]?.currentGeneration() != null) inFlight.push({ holder: step.holder, at: time + step.delay })
      } else if (!inFlight.some((order) => order.holder === step.holder)) {
        await leases[step.holder]?.release()
      }
    }
    deliver(Infinity)
  }), { seed: options.seed, numRuns: options.runs })
}
