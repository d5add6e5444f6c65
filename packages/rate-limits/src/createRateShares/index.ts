/** Keeps limits without asking anybody: each gateway takes an equal share. Compared with one counter a back end; it breaks small limits in large fleets. */
import type * as types from '@switchridge/types'
import * as tokenBucket from '../_lib/tokenBucket.js'
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
  const buckets = new Map<types.BackEndLife, tokenBucket.TokenBucket>()

  function find (life: types.BackEndLife): tokenBucket.TokenBucket {
    const known = buckets.get(life)
    if (known !== undefined) return known
    const bucket = tokenBucket.createTokenBucket(now)
    buckets.set(life, bucket)
    return bucket
  }

  return {
    waitMs: (life) => buckets.get(life)?.waitMs() ?? 0,
    acquire: async ({ life, perSecond }) => {
      if (perSecond === null) return { isGranted: true }
      const bucket = find(life)
      bucket.setRate(perSecond / countGateways(), KEPT)
      return bucket.tryTake() ? { isGranted: true } : { isGranted: false, waitMs: bucket.waitMs() }
    }
  }
}
