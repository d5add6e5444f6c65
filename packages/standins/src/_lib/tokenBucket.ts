/** A limit of calls a second. */
export interface TokenBucket {
  readonly tryTake: () => boolean
}

/** Creates a bucket that holds one second's worth of calls. */
export function createTokenBucket (perSecond: number, now: () => number): TokenBucket {
  let tokens = perSecond
  let filledAt = now()
  return {
    tryTake: () => {
      tokens = Math.min(perSecond, tokens + (now() - filledAt) * perSecond / 1000)
      filledAt = now()
      if (tokens < 1) return false
      tokens -= 1
      return true
    }
  }
}
