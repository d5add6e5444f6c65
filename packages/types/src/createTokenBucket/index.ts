/** A token bucket: so many actions a second, and a few at once after a lull. */
import * as constants from '../constants/index.js'

/** What a bucket begins with. */
export interface TokenBucketOptions {
  /** Tokens a second. */
  readonly perSecond: number
  /** The most that are kept. */
  readonly capacity: number
  /** Tokens at the beginning. */
  readonly tokens: number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The bucket. */
export interface TokenBucket {
  /** Sets tokens a second and the most that are kept. */
  readonly setRate: (perSecond: number, capacity: number) => void
  /** Takes a token if there are so many; one if absent. */
  readonly tryTake: (least?: number) => boolean
  /** Milliseconds until there is a token. */
  readonly waitMs: () => number
}

/**
 * Creates a bucket.
 *
 * @param options - Rate, capacity and clock.
 * @returns The bucket; its rate may change.
 * @example
 * const bucket = createTokenBucket({ perSecond: 5, capacity: 5, tokens: 5, now })
 */
export function createTokenBucket ({ perSecond, capacity, tokens, now }: TokenBucketOptions): TokenBucket {
  let rate = perSecond
  let most = capacity
  let left = tokens
  let filledAt = now()

  function fill (): void {
    left = Math.min(most, left + (now() - filledAt) * rate / constants.MILLISECONDS_IN_SECOND)
    filledAt = now()
  }

  return {
    setRate: (nextRate, nextMost) => {
      fill()
      rate = nextRate
      most = nextMost
      left = Math.min(left, most)
    },
    tryTake: (least = 1) => {
      fill()
      if (left < least) return false
      left -= 1
      return true
    },
    waitMs: () => {
      fill()
      return left >= 1 ? 0 : (1 - left) * constants.MILLISECONDS_IN_SECOND / rate
    }
  }
}
