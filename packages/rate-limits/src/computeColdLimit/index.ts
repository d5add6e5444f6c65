/** Computes the limit of a cold back end from what it tolerates in any one second. */
import * as chooseCounter from '../chooseCounter/index.js'
import type * as rateLimits from '../types/index.js'

/** What a cold back end tolerates in any one second beyond its rate. */
export interface ColdTolerance {
  /** Multiple of the rate. */
  readonly overage: number
  /** Requests in addition. */
  readonly slack: number
}

/** Shortest and longest time whose unused permits are kept. Below the shortest one, a part of the rate is lost between two requests. */
const BURST_MINIMUM_SECONDS = 0.05
const BURST_MAXIMUM_SECONDS = 0.25
/**
 * Requests that arrive within one second may have been granted within this much more: a permit is valid for 0.15 s, and the way from the gateway to the back end may
 * take 0.03 s more or less.
 */
const SPREAD_SECONDS = 0.18
/** The counter and its substitute each keep one permit. */
const MINIMUM_BURSTS = 2
/** Lowest rate, so that a bound without any tolerance doesn't keep all requests away. */
const MINIMUM_PER_SECOND = 0.2

/**
 * Computes the limit for which any one second keeps the bound `overage` x `perSecond` + `slack`, even if a counter and a substitute both grant permits and
 * all permits are used as late as allowed.
 *
 * @param perSecond - Requests per second that the cold back end can take.
 * @param tolerance - What it tolerates beyond.
 * @returns The limit, with a rate of `perSecond` unless the bound requires a lower one.
 */
export function computeColdLimit (perSecond: number, { overage, slack }: ColdTolerance): rateLimits.ColdLimit {
  const grantedRate = (overage * perSecond + slack - MINIMUM_BURSTS) / (1 + chooseCounter.SUBSTITUTE_FRACTION)
  const rate = Math.max(MINIMUM_PER_SECOND, Math.min(perSecond, grantedRate / (1 + SPREAD_SECONDS + BURST_MINIMUM_SECONDS)))
  const burstSeconds = grantedRate / rate - 1 - SPREAD_SECONDS
  return { perSecond: rate, burst: rate * Math.min(BURST_MAXIMUM_SECONDS, Math.max(BURST_MINIMUM_SECONDS, burstSeconds)) }
}
