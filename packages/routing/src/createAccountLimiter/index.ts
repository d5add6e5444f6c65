/** Limits of client accounts over all entry nodes, without a coordinator. */
import * as types from '@switchridge/types'

/** Limits of all accounts at one entry node. */
export interface AccountLimiter {
  /** Takes one call of the account's rate; returns milliseconds to wait, 0 when the call may go on. */
  readonly take: (account: types.AccountId, callsPerSecond: number) => number
  /** Sets what part of the traffic this entry node takes, from 0 to 1. */
  readonly setPart: (account: types.AccountId, part: number) => void
  /** Calls taken since the last reading, by account. */
  readonly readUsage: () => ReadonlyMap<types.AccountId, number>
}

interface Account {
  readonly bucket: types.TokenBucket
  part: number
  used: number
}

const BURST_SECONDS = 1
const MINIMUM_PART = 0.05
const MAXIMUM_ACCOUNTS = 10_000

/**
 * Creates the limiter of one entry node.
 *
 * @param now - Monotonic clock in milliseconds.
 * @param defaultPart - Reads the part of an account that has none set, for example one over the number of entry nodes.
 * @returns The limiter.
 */
export function createAccountLimiter (now: () => number, defaultPart: () => number): AccountLimiter {
  const accounts = new Map<types.AccountId, Account>()

  function find (name: types.AccountId, callsPerSecond: number): Account {
    const known = accounts.get(name)
    if (known !== undefined) return known
    const part = defaultPart()
    const burst = callsPerSecond * part * BURST_SECONDS
    const account = { bucket: types.createTokenBucket({ perSecond: callsPerSecond * part, capacity: Math.max(1, burst), tokens: burst, now }), part, used: 0 }
    if (accounts.size < MAXIMUM_ACCOUNTS) accounts.set(name, account)
    return account
  }

  return {
    take: (name, callsPerSecond) => {
      if (callsPerSecond === 0) return 0
      const account = find(name, callsPerSecond)
      const rate = callsPerSecond * account.part
      account.bucket.setRate(rate, Math.max(1, rate * BURST_SECONDS))
      account.used += 1
      return account.bucket.tryTake() ? 0 : Math.ceil(account.bucket.waitMs())
    },
    setPart: (name, part) => {
      const account = accounts.get(name)
      if (account !== undefined) account.part = Math.max(MINIMUM_PART, part)
    },
    readUsage: () => {
      const usage = new Map([...accounts.entries()].map(([name, account]) => [name, account.used]))
      for (const account of accounts.values()) account.used = 0
      return usage
    }
  }
}
