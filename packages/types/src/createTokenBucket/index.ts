/** A token bucket: limits the rate of actions and allows a bounded burst after idle time. */
import * as constants from '../constants/index.js'

/** Options of {@link createTokenBucket}. */
export interface TokenBucketOptions {
  /** Tokens added per second. */
  readonly perSecond: number
  /** Largest number of tokens in the bucket. */
  readonly capacity: number
  /** Initial number of tokens. */
  readonly tokens: number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** A token bucket whose rate can change. */
export interface TokenBucket {
  /** Sets the rate in tokens per second and the capacity, from now on. */
  readonly setRate: (perSecond: number, capacity: number) => void
  /** Takes one token if the bucket holds at least `minimum` tokens, which is 1 by default and not less; returns whether it did. */
  readonly tryTake: (minimum?: number) => boolean
  /** Milliseconds until a token is available; Infinity at a rate of 0. */
  readonly waitMs: () => number
}

/**
 * Creates a token bucket.
 *
 * @param options - Rate, capacity, initial tokens and clock.
 * @returns The bucket.
 * @example
 * const bucket = createTokenBucket({ perSecond: 5, capacity: 5, tokens: 5, now })
 */
export function createTokenBucket ({ perSecond, capacity, tokens, now }: TokenBucketOptions): TokenBucket {
  let rate = perSecond
  let maximum = capacity
  let available = tokens
  let refilledAt = now()

  function refill (): void {
    available = Math.min(maximum, available + (now() - refilledAt) * rate / constants.MILLISECONDS_IN_SECOND)
    refilledAt = now()
  }

  return {
    setRate: (nextRate, nextMaximum) => {
      refill()
      rate = nextRate
      maximum = nextMaximum
      available = Math.min(available, maximum)
    },
    tryTake: (minimum = 1) => {
      refill()
      if (available < minimum) return false
      available -= 1
      return true
    },
    waitMs: () => {
      refill()
      return available >= 1 ? 0 : (1 - available) * constants.MILLISECONDS_IN_SECOND / rate
    }
  }
}
