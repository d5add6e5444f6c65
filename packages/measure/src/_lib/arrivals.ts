/** Generates reproducible loads: Poisson arrivals with heavy-tailed service times. */
import * as random from 'pure-rand/distribution/uniformFloat64'
import * as generators from 'pure-rand/generator/xoroshiro128plus'

/** A call of a load. */
export interface Arrival {
  /** Arrival time in milliseconds after the start. */
  readonly at: number
  readonly serviceMs: number
}

/** Shape of the Pareto distribution of service times. */
const TAIL_SHAPE = 2.2
/** Upper bound of a service time, as a multiple of the mean. */
const TAIL_LIMIT = 12

/** Generates the calls of a load from a seed. */
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

/** Draws from a bounded Pareto distribution with a mean close to 1. */
function drawPareto (uniform: number): number {
  const scale = (TAIL_SHAPE - 1) / TAIL_SHAPE
  return Math.min(TAIL_LIMIT, scale / (1 - uniform) ** (1 / TAIL_SHAPE))
}

/** Computes the delays of the calls with a single shared FIFO queue in front of all slots, as the ideal to compare with. */
export function computeSharedQueueDelays (arrivals: readonly Arrival[], slots: number): number[] {
  const freeAt = new Array<number>(slots).fill(0)
  return arrivals.map(({ at, serviceMs }) => {
    const slot = freeAt.indexOf(Math.min(...freeAt))
    const end = Math.max(at, freeAt[slot] ?? 0) + serviceMs
    freeAt[slot] = end
    return end - at
  })
}
