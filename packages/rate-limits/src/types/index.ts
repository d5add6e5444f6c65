/** Shapes of rate limits: what back ends name, and what follows from it. */
import type * as types from '@switchridge/types'

/** What one answer says of the rate that its back end takes. */
export type NamedRate =
  /** It takes what its places allow. */
  | { readonly kind: 'none' }
  /** Requests a second from all machines together; above zero. */
  | { readonly kind: 'named', readonly perSecond: number }
  | { readonly kind: 'unreadable', readonly text: string }

/** The limit of one life of a back end. */
export interface RateLimit {
  readonly life: types.BackEndLife
  /** Requests a second from all machines together; null once the back end has stopped naming a limit. */
  readonly perSecond: number | null
  /** Monotonic time in milliseconds when a daemon last heard so from the back end. */
  readonly heardAt: number
}

/** Whether a request may be sent to a back end with a limit now, or when to ask again. */
export type PermitAnswer =
  | { readonly isGranted: true }
  /** `waitMs`: milliseconds after which a permit is expected. */
  | { readonly isGranted: false, readonly waitMs: number }

/** A way by which the gateways of a fleet keep one limit together; one of these at each gateway. */
export interface PermitWay {
  /** Milliseconds until it is worth asking; 0 for now. */
  readonly waitMs: (life: types.BackEndLife, isLate: boolean) => number
  /** Asks for one request, which is sent at once when it may be; `isLate`: its answer can no longer be in time. */
  readonly acquire: (limit: RateLimit, isLate: boolean) => Promise<PermitAnswer>
}
