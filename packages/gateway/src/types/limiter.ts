/** What keeps the rates that back ends name. */
import type * as rateLimits from '@switchridge/rate-limits'
import type * as gateway from './index.js'

/** The rate limiter of a gateway. */
export interface RateLimiter {
  /** Notes what an answer of a back end says; `sentAt`: monotonic time in milliseconds at which its call was sent. */
  readonly noteAnswer: (backEnd: gateway.BackEnd, rate: rateLimits.NamedRate, sentAt: number) => void
}
