/** Calls with fixed seeds: Poisson arrivals and service times with a heavy tail. */
import * as random from 'pure-rand/distribution/uniformFloat64'
import * as generators from 'pure-rand/generator/xoroshiro128plus'

/** One call of a load. */
export interface Arrival {
  /** Milliseconds after the start. */
  readonly at: number
  readonly serviceMs: number
}

const TAIL_SHAPE = 2.2
const TAIL_LIMIT = 12

/** Draws the calls of a load. */
export function drawArrivals (seed: number, callsPerSecond: number, seconds: number, meanServiceMs: number): Arrival[] {
  const generator = generators.xoroshiro128plus(seed)
  const drawUniform = (): number => random.uniformFloat64(generator)
  const arrivals: Arrival[] = []
  for (let at = 0; at < seconds * 1000;) {
    at += -Math.log(1 - drawUniform()) * 1000 / callsPerSecond
    arrivals.push({ at, serviceMs: Math.max(1, Math.round(drawPareto(drawUniform()) * meanServiceMs)) })
  }
  return arrivals
}

/** A bounded Pareto with mean near 1. */
function drawPareto (uniform: number): number {
  const scale = (TAIL_SHAPE - 1) / TAIL_SHAPE
  return Math.min(TAIL_LIMIT, scale / (1 - uniform) ** (1 / TAIL_SHAPE))
}

/** Delays of the same calls with one shared queue before all slots: the ideal. */
export function computeSharedQueueDelays (arrivals: readonly Arrival[], slots: number): number[] {
  const freeAt = new Array<number>(slots).fill(0)
  return arrivals.map(({ at, serviceMs }) => {
    const slot = freeAt.indexOf(Math.min(...freeAt))
    const end = Math.max(at, freeAt[slot] ?? 0) + serviceMs
    freeAt[slot] = end
    return end - at
  })
}
