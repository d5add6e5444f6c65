/** Requests of back ends to be left alone for some time, as the request path uses them. */
import type * as gateway from './index.js'

/** What a back end's response says about further calls of this gateway. */
export type BackoffRequest =
  | { readonly kind: 'none' }
  /** The back end wants no calls of this gateway for so many milliseconds. */
  | { readonly kind: 'named', readonly forMs: number }
  | { readonly kind: 'unreadable', readonly text: string }

/** What may be sent to a back end that has asked to be left alone. */
export interface Backoff {
  /** Milliseconds until calls may be sent there; 0 if they may be sent now. */
  readonly waitMs: number
  /** Number of calls that may be under way there without a response; Infinity for no bound. */
  readonly maximumUnanswered: number
}

/** The backoffs of one gateway. */
export interface BackoffKeeper {
  /** Records what a response says; `isSuccess`: whether the back end served the call. */
  readonly noteResponse: (backEnd: gateway.BackEnd, request: BackoffRequest, isSuccess: boolean) => void
  readonly read: (backEnd: gateway.BackEnd) => Backoff
}
