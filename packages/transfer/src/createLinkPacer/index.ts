/** Keeps one direction of a node's link within its limit; calls go before weights. */
import * as types from '@switchridge/types'

/** One direction of a link. */
export interface LinkPacer {
  /** Waits until bytes of weights have passed the link. */
  readonly take: (bytes: number) => Promise<void>
  /** Counts bytes of calls at once; weights that wait get later by as much. */
  readonly spend: (bytes: number) => void
  /** Milliseconds of traffic that waits now. */
  readonly backlogMs: () => number
}

/** Credit in milliseconds that an idle link keeps, so that late timers cost no throughput. */
const CREDIT_MS = 25
const MILLISECONDS = 1000

/**
 * Creates a pacer: a queue with a virtual clock.
 *
 * @param bytesPerSecond - The limit; 0 for none.
 * @param now - Monotonic clock in milliseconds.
 * @returns The pacer.
 */
export function createLinkPacer (bytesPerSecond: number, now: () => number): LinkPacer {
  let freeAt = -Infinity

  function reserve (bytes: number): number {
    const start = Math.max(freeAt, now() - CREDIT_MS)
    freeAt = start + bytes * MILLISECONDS / bytesPerSecond
    return freeAt
  }

  if (bytesPerSecond === 0) return { take: async () => {}, spend: () => {}, backlogMs: () => 0 }
  return {
    take: async (bytes) => {
      const due = reserve(bytes)
      while (true) {
        const waitMs = due - now()
        if (waitMs <= 0) return
        await types.delay(Math.ceil(waitMs))
      }
    },
    spend: (bytes) => { reserve(bytes) },
    backlogMs: () => Math.max(0, freeAt - now())
  }
}
