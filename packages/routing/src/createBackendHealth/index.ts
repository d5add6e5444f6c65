/** Circuit breaker for backend servers: avoids those that fail and probes them with one call at a time after a backoff. */
import type * as types from '@switchridge/types'

/** Health of the backend servers as observed by one entry node. */
export interface BackendHealth {
  readonly noteSuccess: (node: types.NodeId) => void
  readonly noteFailure: (node: types.NodeId) => void
  /** Whether a call may be sent to the server now; after the backoff, one call at a time may. */
  readonly isUsable: (node: types.NodeId) => boolean
  /** Records that a call is sent to the server; restarts the backoff of an avoided server, so that only one call at a time probes it. */
  readonly noteAttempt: (node: types.NodeId) => void
  /** Removes the entry of a server. */
  readonly forget: (node: types.NodeId) => void
  /** Number of servers that have an entry. */
  readonly size: () => number
}

interface Entry {
  failures: number
  /** Monotonic time in milliseconds. */
  backoffUntil: number
}

const FAILURES_BEFORE_BACKOFF = 2
const BACKOFF_BASE_MS = 500
const BACKOFF_MAXIMUM_MS = 15_000

/**
 * Creates an empty health record. It stores an entry only for servers that failed since their last success.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The record.
 */
export function createBackendHealth (now: () => number): BackendHealth {
  const entries = new Map<types.NodeId, Entry>()

  function computeBackoffMs (failures: number): number {
    return Math.min(BACKOFF_MAXIMUM_MS, BACKOFF_BASE_MS * 2 ** Math.max(0, failures - FAILURES_BEFORE_BACKOFF))
  }

  return {
    noteSuccess: (node) => { entries.delete(node) },
    noteFailure: (node) => {
      const entry = entries.get(node) ?? { failures: 0, backoffUntil: 0 }
      entry.failures += 1
      if (entry.failures >= FAILURES_BEFORE_BACKOFF) entry.backoffUntil = now() + computeBackoffMs(entry.failures)
      entries.set(node, entry)
    },
    isUsable: (node) => now() >= (entries.get(node)?.backoffUntil ?? 0),
    noteAttempt: (node) => {
      const entry = entries.get(node)
      if (entry !== undefined && entry.failures >= FAILURES_BEFORE_BACKOFF) entry.backoffUntil = now() + computeBackoffMs(entry.failures)
    },
    forget: (node) => { entries.delete(node) },
    size: () => entries.size
  }
}
