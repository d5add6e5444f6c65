/** Keeps limits without asking anybody: each gateway takes an equal share. For comparison with one counter a back end. */
import * as types from '@switchridge/types'
import type * as rateLimits from '../types/index.js'

/** A gateway keeps one permit in hand, or its share would never be whole. */
const KEPT = 1

/**
 * Creates the shares of one gateway.
 *
 * @param countGateways - Reads how many gateways send calls, this one included.
 * @param now - Monotonic clock in milliseconds.
 * @returns The way.
 */
export function createRateShares (countGateways: () => number, now: () => number): rateLimits.PermitWay {
  const buckets = new Map<types.BackEndLife, types.TokenBucket>()

  return {
    waitMs: (life) => buckets.get(life)?.waitMs() ?? 0,
    acquire: async ({ life, perSecond }) => {
      if (perSecond === null) return { isGranted: true }
      const bucket = types.getOrCreate(buckets, life, () => types.createTokenBucket({ perSecond: 0, capacity: 0, tokens: 0, now }))
      bucket.setRate(perSecond / countGateways(), KEPT)
      return bucket.tryTake() ? { isGranted: true } : { isGranted: false, waitMs: bucket.waitMs() }
    }
  }
}
