/** What keeps the rates that back ends name. */
import type * as rateLimits from '@switchridge/rate-limits'
import type * as gateway from './index.js'

/** What a back end with a limit may take next. */
export interface LimitedRoom {
  /** Requests a second from all gateways together. */
  readonly perSecond: number
  /** Milliseconds until a request may be sent there; 0 when it is worth asking for a permit now. */
  readonly waitMs: number
}

/** The rate limiter of a gateway. */
export interface RateLimiter {
  /** Notes what an answer of a back end says; `sentAt`: monotonic time in milliseconds at which its call was sent. */
  readonly noteAnswer: (backEnd: gateway.BackEnd, rate: rateLimits.NamedRate, sentAt: number) => void
  /** What a back end may take of a call; `isLate`: its answer can no longer be in time. Null for one without a limit. */
  readonly readRoom: (backEnd: gateway.BackEnd, isLate: boolean) => LimitedRoom | null
  /** Asks for a permit for one request, which is sent at once when it is granted; always granted without a limit. */
  readonly acquire: (backEnd: gateway.BackEnd, isLate: boolean) => Promise<rateLimits.PermitAnswer>
}
