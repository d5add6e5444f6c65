/** What gateways tell each other of rates that back ends name. */
import type * as rateLimits from '@switchridge/rate-limits'
import * as types from '@switchridge/types'

const LIMIT = 'l'
/** Stands for a limit that has ended: no limit is zero. */
const ENDED = 0

/** Formats a limit as a list that is short in JSON. */
export function formatFact ({ life, perSecond }: rateLimits.RateLimit): unknown[] {
  return [LIMIT, life, perSecond ?? ENDED]
}

/** Whether a fact is about a limit. */
export function isFact (content: unknown): content is unknown[] {
  return Array.isArray(content) && content[0] === LIMIT
}

/**
 * Parses a fact about a limit.
 *
 * @param content - The fact.
 * @param madeAt - Monotonic time in milliseconds at which it was made.
 * @returns The limit, or null for one that can't be right.
 */
export function parseFact ([, life, perSecond]: readonly unknown[], madeAt: number): rateLimits.RateLimit | null {
  if (!types.isLife(life)) return null
  if (typeof perSecond !== 'number' || !Number.isFinite(perSecond) || perSecond < 0) return null
  return { life, perSecond: perSecond === ENDED ? null : perSecond, heardAt: madeAt }
}
