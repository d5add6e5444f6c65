/** Keeps rate limits without communication: each gateway gets an equal share of the rate. Baseline for comparison with one counter per back end. */
import * as types from '@switchridge/types'
import type * as rateLimits from '../types/index.js'

/** Each token bucket must hold at least one permit: below that it would never grant a request. */
const BURST_CAPACITY = 1

/**
 * Creates the permit source of one gateway.
 *
 * @param countGateways - Returns how many gateways send calls, this one included.
 * @param now - Monotonic clock in milliseconds.
 * @returns The permit source.
 */
export function createRateShares (countGateways: () => number, now: () => number): rateLimits.PermitSource {
  const buckets = new Map<types.BackEndInstanceId, types.TokenBucket>()

  return {
    waitMs: (life) => buckets.get(life)?.waitMs() ?? 0,
    acquire: async ({ life, perSecond }) => {
      if (perSecond === null) return { isGranted: true }
      const bucket = types.getOrCreate(buckets, life, () => types.createTokenBucket({ perSecond: 0, capacity: 0, tokens: 0, now }))
      bucket.setRate(perSecond / countGateways(), BURST_CAPACITY)
      return bucket.tryTake() ? { isGranted: true } : { isGranted: false, waitMs: bucket.waitMs() }
    }
  }
}
