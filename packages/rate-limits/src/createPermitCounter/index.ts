/** Counts what may be sent to back ends with a limit, for all gateways: one daemon counts for each back end. */
import * as types from '@switchridge/types'
import type * as rateLimits from '../types/index.js'

/** The counter of one daemon. */
export interface PermitCounter {
  /**
   * Gives a permit for one request, if there is one.
   *
   * @param limit - The limit as the asking gateway knows it; the one that was heard last holds.
   * @param part - Part of the rate that this daemon may give.
   * @param isLate - Whether the request's answer can no longer be in time.
   */
  readonly take: (limit: rateLimits.RateLimit & { readonly perSecond: number }, part: number, isLate?: boolean) => rateLimits.PermitAnswer
}

/** A back end that takes less still gets a request every five seconds: without answers nobody would learn that its limit has ended. */
const MINIMUM_PER_SECOND = 0.2
/** Permits that nobody asked for are kept, so that short lulls cost nothing; those of a quarter of a second and one more leave half of what a limit tolerates to what is under way. */
const KEPT_SECONDS = 0.25
const KEPT_ALWAYS = 1
/**
 * A call that can no longer be in time gets a permit only while nearly all are kept: otherwise those that were refused and came back would take the permits of
 * calls that can be, and hardly an answer would be in time where all back ends are limited.
 */
const LATE_KEPT_PART = 0.9
const LATE_WAIT_MS = 300
/** No gateway is told to wait for longer, however many were told before it: some of them may have no call left. */
const MAXIMUM_WAIT_MS = 1000
/** A back end that nobody asked for so long is forgotten. */
const FORGET_MS = 60_000

interface Account {
  readonly bucket: types.TokenBucket
  limit: rateLimits.RateLimit
  rate: number
  askedAt: number
  /** When the last one of those that wait was told to come back. */
  promisedAt: number
}

/**
 * Creates a counter.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The counter; for each back end it begins with nothing in hand, since another daemon may have counted before.
 */
export function createPermitCounter (now: () => number): PermitCounter {
  const accounts = new Map<types.BackEndLife, Account>()

  function find (limit: rateLimits.RateLimit): Account {
    const known = accounts.get(limit.life)
    if (known !== undefined) return known
    for (const [life, { askedAt }] of accounts) if (now() - askedAt > FORGET_MS) accounts.delete(life)
    const account = { bucket: types.createTokenBucket({ perSecond: 0, capacity: 0, tokens: 0, now }), limit, rate: 0, askedAt: now(), promisedAt: 0 }
    accounts.set(limit.life, account)
    return account
  }

  /** Milliseconds until those that wait already have been served and there is one more. */
  function computeWait (account: Account): number {
    const nextAt = now() + account.bucket.waitMs()
    const expectedAt = Math.max(nextAt, account.promisedAt + types.MILLISECONDS_IN_SECOND / account.rate)
    account.promisedAt = Math.max(nextAt, Math.min(expectedAt, now() + MAXIMUM_WAIT_MS))
    return account.promisedAt - now()
  }

  return {
    take: (limit, part, isLate = false) => {
      const account = find(limit)
      account.askedAt = now()
      if (limit.heardAt > account.limit.heardAt) account.limit = limit
      account.rate = Math.max(MINIMUM_PER_SECOND, (account.limit.perSecond ?? limit.perSecond) * part)
      const kept = KEPT_ALWAYS + account.rate * KEPT_SECONDS
      account.bucket.setRate(account.rate, kept)
      if (isLate) return account.bucket.tryTake(Math.max(1, LATE_KEPT_PART * kept)) ? { isGranted: true } : { isGranted: false, waitMs: LATE_WAIT_MS }
      if (account.bucket.tryTake()) return { isGranted: true }
      return { isGranted: false, waitMs: computeWait(account) }
    }
  }
}
