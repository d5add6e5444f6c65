/** Statistics of samples; unlike simple-statistics they return 0 for no samples. */
import * as statistics from 'simple-statistics'

/** Returns the quantile of the samples at a probability. */
export function quantile (samples: readonly number[], probability: number): number {
  return samples.length === 0 ? 0 : statistics.quantile([...samples], probability)
}

export function mean (samples: readonly number[]): number {
  return samples.length === 0 ? 0 : statistics.mean([...samples])
}

/** Rounds a number to the given number of decimals. */
export function round (value: number, digits = 3): number {
  return Number(value.toFixed(digits))
}
