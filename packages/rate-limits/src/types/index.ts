/** Types of rate limits and permits. */
import type * as types from '@switchridge/types'

/** The rate limit that one response of a back end advertises. */
export type AdvertisedRate =
  /** No rate limit; only the slots of the back end bound its load. */
  | { readonly kind: 'none' }
  /** Requests per second from all gateways together; above zero. */
  | { readonly kind: 'named', readonly perSecond: number }
  | { readonly kind: 'unreadable', readonly text: string }

/** The rate limit of one run of a back end process. */
export interface RateLimit {
  readonly life: types.BackEndInstanceId
  /** Requests per second from all gateways together; null once the back end has stopped advertising a limit. */
  readonly perSecond: number | null
  /** Monotonic time in milliseconds at which a daemon last received this value from the back end. */
  readonly receivedAt: number
}

/** The limits that apply to requests to one run of a back end process. At least one of the two rates is set. */
export interface LimitInForce extends RateLimit {
  /** Absent if the back end is not cold. */
  readonly cold?: ColdLimit
  /** Rank of the call, 0 for the highest; permits of a cold back end go to higher ranks first. 0 if absent. */
  readonly rank?: number
}

/** The limit of a cold back end, which applies to any one second. */
export interface ColdLimit {
  /** Requests per second from all gateways together; above zero. */
  readonly perSecond: number
  /** Number of unused permits that its counter may keep, in addition to one. */
  readonly burst: number
}

/** Whether a request may be sent to a rate-limited back end now, or when to ask again. */
export type PermitDecision =
  /** `expiresAt`: monotonic time in milliseconds by which the request must be on its way; absent if it only has to be sent at once. */
  | { readonly isGranted: true, readonly expiresAt?: number }
  /** `waitMs`: milliseconds until a permit is expected to be available. */
  | { readonly isGranted: false, readonly waitMs: number }

/** Provides the permits of one gateway; the sources of all gateways together keep each rate limit. */
export interface PermitSource {
  /** Milliseconds until a permit should be requested; 0 if it may be requested now. `isLate` as in `acquire`; `rank` as in {@link LimitInForce}. */
  readonly waitMs: (life: types.BackEndInstanceId, isLate: boolean, rank?: number) => number
  /** Requests a permit for one request, which must be sent at once if granted; `isLate`: its answer will miss its target time. */
  readonly acquire: (limit: LimitInForce, isLate: boolean) => Promise<PermitDecision>
}
