/** Avoids backend servers that fail, and tries them again one call at a time. */
import type * as types from '@switchridge/types'

/** Health of backend servers as one entry node sees it. */
export interface BackendHealth {
  readonly noteSuccess: (node: types.NodeId) => void
  readonly noteFailure: (node: types.NodeId) => void
  /** Whether a call may go there now; after a pause one call at a time may. */
  readonly isUsable: (node: types.NodeId) => boolean
  /** Notes that a call goes there, so that only one tries an avoided server. */
  readonly noteAttempt: (node: types.NodeId) => void
  readonly forget: (node: types.NodeId) => void
  readonly size: () => number
}

interface Entry {
  failures: number
  backoffUntil: number
}

const FAILURES_BEFORE_BACKOFF = 2
const BACKOFF_BASE_MS = 500
const BACKOFF_MAXIMUM_MS = 15_000

/**
 * Creates the health record; only servers that failed lately take room in it.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The record.
 */
export function createBackendHealth (now: () => number): BackendHealth {
  const entries = new Map<types.NodeId, Entry>()

  function computeBackoff (failures: number): number {
    return Math.min(BACKOFF_MAXIMUM_MS, BACKOFF_BASE_MS * 2 ** Math.max(0, failures - FAILURES_BEFORE_BACKOFF))
  }

  return {
    noteSuccess: (node) => { entries.delete(node) },
    noteFailure: (node) => {
      const entry = entries.get(node) ?? { failures: 0, backoffUntil: 0 }
      entry.failures += 1
      if (entry.failures >= FAILURES_BEFORE_BACKOFF) entry.backoffUntil = now() + computeBackoff(entry.failures)
      entries.set(node, entry)
    },
    isUsable: (node) => now() >= (entries.get(node)?.backoffUntil ?? 0),
    noteAttempt: (node) => {
      const entry = entries.get(node)
      if (entry !== undefined && entry.failures >= FAILURES_BEFORE_BACKOFF) entry.backoffUntil = now() + computeBackoff(entry.failures)
    },
    forget: (node) => { entries.delete(node) },
    size: () => entries.size
  }
}
