/** Facts that gateways share about the rate limits that backend servers advertise. */
import type * as rateLimits from '@switchridge/rate-limits'
import * as types from '@switchridge/types'
import * as factCodes from './factCodes.js'

/** Encodes a limit that has ended; a real limit is never zero. */
const ENDED_RATE = 0

/** Encodes a limit as an array, which is short in JSON. */
export function formatFact ({ life, perSecond }: rateLimits.RateLimit): unknown[] {
  return [factCodes.FACT_CODES.rateLimit, life, perSecond ?? ENDED_RATE]
}

/** Returns whether a fact is about a rate limit. */
export function isFact (content: unknown): content is unknown[] {
  return Array.isArray(content) && content[0] === factCodes.FACT_CODES.rateLimit
}

/**
 * Decodes a fact about a rate limit.
 *
 * @param content - The fact.
 * @param madeAt - Monotonic time in milliseconds at which the fact was created.
 * @returns The limit, or null if the fact is malformed.
 */
export function parseFact ([, life, perSecond]: readonly unknown[], madeAt: number): rateLimits.RateLimit | null {
  if (!types.isBackEndInstanceId(life)) return null
  if (typeof perSecond !== 'number' || !Number.isFinite(perSecond) || perSecond < 0) return null
  return { life, perSecond: perSecond === ENDED_RATE ? null : perSecond, receivedAt: madeAt }
}
