/** Keeps one direction of a node's link within its limit; calls go before weights. */
import * as types from '@switchridge/types'

/** One direction of a link. */
export interface LinkPacer {
  /** Waits until bytes of weights have passed the link. */
  readonly take: (bytes: number) => Promise<void>
  /**
   * Waits until bytes that have come over another link could have passed this one too. Bytes pass both
   * links at once, so a link that was idle adds nothing.
   */
  readonly waitToReceive: (bytes: number) => Promise<void>
  /** Counts bytes of calls at once; weights that wait get later by as much. */
  readonly spend: (bytes: number) => void
  /** Milliseconds of traffic that waits now. */
  readonly backlogMs: () => number
}

/** Credit in milliseconds that an idle link keeps, so that late timers cost no throughput. */
const MAXIMUM_CREDIT_MS = 25
const MILLISECONDS_PER_SECOND = 1000

/**
 * Creates a pacer: a queue with a virtual clock.
 *
 * @param bytesPerSecond - The limit; 0 for none.
 * @param now - Monotonic clock in milliseconds.
 * @returns The pacer.
 */
export function createLinkPacer (bytesPerSecond: number, now: () => number): LinkPacer {
  let freeAt = -Infinity

  function reserve (bytes: number, creditMs: number): number {
    const start = Math.max(freeAt, now() - creditMs)
    freeAt = start + bytes * MILLISECONDS_PER_SECOND / bytesPerSecond
    return freeAt
  }

  async function waitUntil (due: number): Promise<void> {
    for (let waitMs = due - now(); waitMs > 0; waitMs = due - now()) await types.delay(Math.ceil(waitMs))
  }

  if (bytesPerSecond === 0) return { take: async () => {}, waitToReceive: async () => {}, spend: () => {}, backlogMs: () => 0 }
  return {
    take: async (bytes) => { await waitUntil(reserve(bytes, MAXIMUM_CREDIT_MS)) },
    waitToReceive: async (bytes) => { await waitUntil(reserve(bytes, MAXIMUM_CREDIT_MS + bytes * MILLISECONDS_PER_SECOND / bytesPerSecond)) },
    spend: (bytes) => { reserve(bytes, MAXIMUM_CREDIT_MS) },
    backlogMs: () => Math.max(0, freeAt - now())
  }
}
