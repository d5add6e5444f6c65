/** Enforces the call rates of client accounts across all entry nodes without a coordinator: each entry node admits a fraction of the rate. */
import * as types from '@switchridge/types'

/** Rate limits of all accounts at one entry node. */
export interface AccountLimiter {
  /** Takes one call from the account's rate; returns the milliseconds to wait, or 0 when the call may proceed. A rate of 0 means no limit. */
  readonly take: (account: types.AccountId, callsPerSecond: number) => number
  /** Sets the fraction of the account's rate that this entry node admits, from 0 to 1; has no effect for an account without calls so far. */
  readonly setTrafficFraction: (account: types.AccountId, fraction: number) => void
  /** Returns the calls of each rate-limited account since the last reading, refused ones included. */
  readonly readUsage: () => ReadonlyMap<types.AccountId, number>
}

interface Account {
  readonly bucket: types.TokenBucket
  /** Fraction of the account's rate that this entry node admits. */
  part: number
  used: number
}

/** A burst may use the calls of this time at once, and at least one call. */
const BURST_SECONDS = 1
/** Smallest fraction that is set, so that an entry node without recent calls still admits some. */
const MINIMUM_TRAFFIC_FRACTION = 0.05
/** Number of accounts whose buckets are kept; a further account gets a new bucket for each call. */
const MAXIMUM_ACCOUNTS = 10_000

/**
 * Creates the rate limiter of one entry node.
 *
 * @param now - Monotonic clock in milliseconds.
 * @param defaultTrafficFraction - Returns the fraction for an account that has none set, for example one over the number of entry nodes.
 * @returns The limiter.
 */
export function createAccountLimiter (now: () => number, defaultTrafficFraction: () => number): AccountLimiter {
  const accounts = new Map<types.AccountId, Account>()

  function findOrCreate (name: types.AccountId, callsPerSecond: number): Account {
    const existing = accounts.get(name)
    if (existing !== undefined) return existing
    const fraction = defaultTrafficFraction()
    const burst = callsPerSecond * fraction * BURST_SECONDS
    const account = { bucket: types.createTokenBucket({ perSecond: callsPerSecond * fraction, capacity: Math.max(1, burst), tokens: burst, now }), part: fraction, used: 0 }
    if (accounts.size < MAXIMUM_ACCOUNTS) accounts.set(name, account)
    return account
  }

  return {
    take: (name, callsPerSecond) => {
      if (callsPerSecond === 0) return 0
      const account = findOrCreate(name, callsPerSecond)
      const rate = callsPerSecond * account.part
      account.bucket.setRate(rate, Math.max(1, rate * BURST_SECONDS))
      account.used += 1
      return account.bucket.tryTake() ? 0 : Math.ceil(account.bucket.waitMs())
    },
    setTrafficFraction: (name, fraction) => {
      const account = accounts.get(name)
      if (account !== undefined) account.part = Math.max(MINIMUM_TRAFFIC_FRACTION, fraction)
    },
    readUsage: () => {
      const usage = new Map([...accounts.entries()].map(([name, account]) => [name, account.used]))
      for (const account of accounts.values()) account.used = 0
      return usage
    }
  }
}
