/** Figures of samples, by simple-statistics. */
import * as statistics from 'simple-statistics'

/** The value below which a part of the samples lies. */
export function quantile (samples: readonly number[], probability: number): number {
  return samples.length === 0 ? 0 : statistics.quantile([...samples], probability)
}

export function mean (samples: readonly number[]): number {
  return samples.length === 0 ? 0 : statistics.mean([...samples])
}

/** Rounds for print. */
export function round (value: number, digits = 3): number {
  return Number(value.toFixed(digits))
}
