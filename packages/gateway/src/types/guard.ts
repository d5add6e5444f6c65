/** Quarantine of calls that crash back ends, as the request path uses it. */
import type * as quarantine from '@switchridge/quarantine'
import type * as gateway from './index.js'

/** What is known of a response whose end only the end of its connection marked: `truncated`: its back end takes no more connections; `uncertain`: nothing could be found out. */
export type ResponseEnd = 'whole' | 'truncated' | 'uncertain'

/** The quarantine guard of a gateway. */
export interface CallGuard {
  /** Whether any call is suspected or blocked; while none is, no fingerprints need to be computed. */
  readonly isActive: () => boolean
  /** Milliseconds for which a call stays blocked; null if it may run. */
  readonly readBlockedMs: (call: quarantine.CallFeatures) => number | null
  /** Reports an attempt whose connection was closed by the back end's side; resolves once it is known whether the back end has ended. */
  readonly noteConnectionLost: (backEnd: gateway.BackEnd, call: quarantine.CallFeatures) => Promise<void>
  /** Checks whether a response that ended with its connection is whole. */
  readonly checkEnd: (backEnd: gateway.BackEnd) => Promise<ResponseEnd>
  /** Reports a call that was served to its end. */
  readonly noteServed: (call: quarantine.CallFeatures) => void
  /** Registers a listener for each block; it gets a function that tells whether the block applies to a call. */
  readonly onBlocked: (listener: (isBlocked: (call: quarantine.CallFeatures) => boolean) => void) => void
}
