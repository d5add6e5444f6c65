/**
 * Decides whether a call that no back end may serve yet waits at the gateway. It answers the load after a return of all machines and between
 * two versions: everybody who called meanwhile comes back, most of them only once.
 */

/** What the decision depends on. */
export interface WaitInput {
  /** Milliseconds until a back end will probably serve; null when nobody knows. */
  readonly servesInMs: number | null
  /** Milliseconds since the call came. */
  readonly waitedMs: number
  /** Milliseconds after which the caller gives up a call of which it hears nothing. */
  readonly patienceMs: number
}

/** Waits until asked again, or is refused with a time to come back. */
export type Wait =
  | { readonly isWaiting: true }
  | { readonly isWaiting: false, readonly retryAfterMs: number | null }

/**
 * Part of a caller's patience after which a call must be on its way to a back end; the rest is for its first event, which takes 0.2 to
 * 0.5 s while all come at once. A caller that gives up after it was kept waiting has lost all its time.
 */
const WAITING_PART = 0.75
/** Returns are spread over this part of the time until a back end serves, so that not all come at its first moment. */
const SPREAD_PART = 0.5

/**
 * Decides on a call that no back end may serve now.
 *
 * @param input - When a back end will serve, and how long the caller waits.
 * @param random - Number from 0 to 1; spreads the callers that come back.
 * @returns Whether the call waits; if not, in how many milliseconds the caller may come back, or null when nobody knows.
 */
export function decideWait ({ servesInMs, waitedMs, patienceMs }: WaitInput, random: number): Wait {
  if (servesInMs === null) return { isWaiting: false, retryAfterMs: null }
  if (waitedMs + servesInMs <= patienceMs * WAITING_PART) return { isWaiting: true }
  return { isWaiting: false, retryAfterMs: servesInMs * (1 + SPREAD_PART * random) }
}
