/** A token bucket whose rate may change. */
import * as types from '@switchridge/types'

/** The bucket. */
export interface TokenBucket {
  /** Sets tokens a second and the most that are kept. */
  readonly setRate: (perSecond: number, capacity: number) => void
  /** Takes a token if there is one. */
  readonly tryTake: () => boolean
  /** Milliseconds until there is a token. */
  readonly waitMs: () => number
}

/**
 * Creates an empty bucket: whoever filled it before may have spent what it held.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The bucket; without a rate it stays empty.
 */
export function createTokenBucket (now: () => number): TokenBucket {
  let perSecond = 0
  let capacity = 0
  let tokens = 0
  let filledAt = now()

  function fill (): void {
    tokens = Math.min(capacity, tokens + (now() - filledAt) * perSecond / types.MILLISECONDS_IN_SECOND)
    filledAt = now()
  }

  return {
    setRate: (rate, most) => {
      fill()
      perSecond = rate
      capacity = most
      tokens = Math.min(tokens, most)
    },
    tryTake: () => {
      fill()
      if (tokens < 1) return false
      tokens -= 1
      return true
    },
    waitMs: () => {
      fill()
      return tokens >= 1 ? 0 : (1 - tokens) * types.MILLISECONDS_IN_SECOND / perSecond
    }
  }
}
