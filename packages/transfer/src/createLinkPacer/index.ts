/** Paces one direction of a node's link to its bandwidth limit. Calls take precedence over weights. */
import * as types from '@switchridge/types'

/** One direction of a link. */
export interface LinkPacer {
  /** Waits until the bytes of weights have passed the link. */
  readonly waitToSend: (bytes: number) => Promise<void>
  /**
   * Waits until bytes that were received over another link could have passed this one too. Bytes pass both
   * links at the same time, so a link that was idle adds no delay.
   */
  readonly waitToReceive: (bytes: number) => Promise<void>
  /** Counts bytes of calls without delaying them; weights that are paced later wait correspondingly longer. */
  readonly countCallBytes: (bytes: number) => void
  /** Milliseconds that the link needs for the traffic it has accepted. */
  readonly backlogMs: () => number
}

/** Idle time in milliseconds that the link may make up for, so that late timers do not reduce throughput. */
const MAXIMUM_CREDIT_MS = 25
const MILLISECONDS_PER_SECOND = 1000

/**
 * Creates a pacer that tracks the time at which the link becomes free.
 *
 * @param bytesPerSecond - The bandwidth limit; 0 for no limit.
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

  if (bytesPerSecond === 0) return { waitToSend: async () => {}, waitToReceive: async () => {}, countCallBytes: () => {}, backlogMs: () => 0 }
  return {
    waitToSend: async (bytes) => { await waitUntil(reserve(bytes, MAXIMUM_CREDIT_MS)) },
    waitToReceive: async (bytes) => { await waitUntil(reserve(bytes, MAXIMUM_CREDIT_MS + bytes * MILLISECONDS_PER_SECOND / bytesPerSecond)) },
    countCallBytes: (bytes) => { reserve(bytes, MAXIMUM_CREDIT_MS) },
    backlogMs: () => Math.max(0, freeAt - now())
  }
}
