/** What keeps calls that end back ends from the others. */
import type * as quarantine from '@switchridge/quarantine'
import type * as gateway from './index.js'

/** The guard of a gateway. */
export interface CallGuard {
  /** Whether any call is suspected or blocked; otherwise nobody asks which call is which. */
  readonly isActive: () => boolean
  /** Milliseconds for which a call is blocked; null when it may run. */
  readonly findBlock: (call: quarantine.CallFingerprint) => number | null
  /** Told of an attempt whose connection the back end's side ended; resolves once it is known whether the back end has ended. */
  readonly noteCut: (backEnd: gateway.BackEnd, call: quarantine.CallFingerprint) => Promise<void>
  /** Told of a call that was served to its end, while the guard is active. */
  readonly noteServed: (call: quarantine.CallFingerprint) => void
  /** Registers who is told of each call that is blocked. */
  readonly onBlocked: (listener: (call: quarantine.CallFingerprint) => void) => void
}
