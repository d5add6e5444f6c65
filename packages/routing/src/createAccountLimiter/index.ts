/** Limits of client accounts over all entry nodes, without a coordinator. */
import type * as types from '@switchridge/types'

/** Limits of all accounts at one entry node. */
export interface AccountLimiter {
  /** Takes one call of the account's rate; returns milliseconds to wait, 0 when the call may go on. */
  readonly take: (account: types.AccountId, callsPerSecond: number) => number
  /** Sets what part of the traffic this entry node takes, from 0 to 1. */
  readonly setPart: (account: types.AccountId, part: number) => void
  /** Calls taken since the last reading, by account. */
  readonly readUsage: () => ReadonlyMap<types.AccountId, number>
}

interface Bucket {
  tokens: number
  filledAt: number
  part: number
  used: number
}

const BURST_SECONDS = 1
const MINIMUM_PART = 0.05
const MILLISECONDS = 1000
const MAXIMUM_ACCOUNTS = 10_000

/**
 * Creates the limiter of one entry node.
 *
 * @param now - Monotonic clock in milliseconds.
 * @param defaultPart - Reads the part of an account that has none set, for example one over the number of entry nodes.
 * @returns The limiter.
 */
export function createAccountLimiter (now: () => number, defaultPart: () => number): AccountLimiter {
  const buckets = new Map<types.AccountId, Bucket>()

  function find (account: types.AccountId, callsPerSecond: number): Bucket {
    const known = buckets.get(account)
    if (known !== undefined) return known
    const part = defaultPart()
    const bucket = { tokens: callsPerSecond * part * BURST_SECONDS, filledAt: now(), part, used: 0 }
    if (buckets.size < MAXIMUM_ACCOUNTS) buckets.set(account, bucket)
    return bucket
  }

  return {
    take: (account, callsPerSecond) => {
      if (callsPerSecond === 0) return 0
      const bucket = find(account, callsPerSecond)
      const rate = callsPerSecond * bucket.part
      const capacity = Math.max(1, rate * BURST_SECONDS)
      bucket.tokens = Math.min(capacity, bucket.tokens + (now() - bucket.filledAt) * rate / MILLISECONDS)
      bucket.filledAt = now()
      bucket.used += 1
      if (bucket.tokens < 1) return Math.ceil((1 - bucket.tokens) * MILLISECONDS / rate)
      bucket.tokens -= 1
      return 0
    },
    setPart: (account, part) => {
      const bucket = buckets.get(account)
      if (bucket !== undefined) bucket.part = Math.max(MINIMUM_PART, part)
    },
    readUsage: () => {
      const usage = new Map([...buckets.entries()].map(([account, bucket]) => [account, bucket.used]))
      for (const bucket of buckets.values()) bucket.used = 0
      return usage
    }
  }
}
