/** Keeps the rate limits that back ends advertise and those of cold back ends, as the request path uses it. */
import type * as rateLimits from '@switchridge/rate-limits'
import type * as gateway from './index.js'

/** Rate allowance of a back end that advertises a limit or is cold. */
export interface RateAllowance {
  /** Requests per second from all gateways together. */
  readonly perSecond: number
  /** Milliseconds until a request may be sent there; 0 if a permit may be requested now. */
  readonly waitMs: number
  /** Whether the back end is cold; absent if it is not. */
  readonly isCold?: boolean
}

/** The rate limiter of a gateway. */
export interface RateLimiter {
  /** Records the rate that a response advertises; `sentAt`: monotonic time in milliseconds at which its request was sent. */
  readonly noteResponse: (backEnd: gateway.BackEnd, rate: rateLimits.AdvertisedRate, sentAt: number) => void
  /** Current allowance of a back end; null for one without a limit. `isLate`: whether the call can no longer be answered in time; `rank`: 0 for the highest, which gets the permits of cold back ends first. */
  readonly readAllowance: (backEnd: gateway.BackEnd, isLate: boolean, rank?: number) => RateAllowance | null
  /** Requests a permit for one request, to be sent at once when granted; always granted for a back end that has no limit and is not cold. */
  readonly acquire: (backEnd: gateway.BackEnd, isLate: boolean, rank?: number) => Promise<rateLimits.PermitDecision>
}
