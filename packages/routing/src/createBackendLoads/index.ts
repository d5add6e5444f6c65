/** Load of the backend servers as known to an entry node: their last report plus the calls sent since then. */
import type * as types from '@switchridge/types'

/** Load that a backend daemon reports with answers and heartbeats. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly limit: number
  readonly queue: number
}

/** A backend server that may be chosen for a call. */
export interface Candidate {
  readonly node: types.NodeId
  /** Calls that run or wait on the server, as far as this entry node knows. */
  readonly load: number
  /** Calls that may run on the server at a time. */
  readonly limit: number
  /** Calls that may wait on the server at a time. */
  readonly queue: number
  /** Load from the last report, without the calls sent since then. */
  readonly reportedLoad: number
}

/** The loads of all backend servers. */
export interface BackendLoads {
  readonly noteSent: (node: types.NodeId) => void
  /** Records the end of an attempt, with the load reported in its answer; without one, the last reported load is reduced by this call. */
  readonly noteEnded: (node: types.NodeId, reported?: ReportedLoad) => void
  readonly noteReported: (node: types.NodeId, reported: ReportedLoad) => void
  readonly readCandidate: (node: types.NodeId, limit: number, queue: number) => Candidate
  /** Number of attempts of this entry node that the server has not ended yet. */
  readonly outstanding: (node: types.NodeId) => number
  readonly forget: (node: types.NodeId) => void
}

interface Entry {
  outstanding: number
  reportedLoad: number
  sentSinceReport: number
}

/**
 * Creates an empty load record.
 *
 * @returns The load record.
 */
export function createBackendLoads (): BackendLoads {
  const entries = new Map<types.NodeId, Entry>()

  function findOrCreate (node: types.NodeId): Entry {
    const existing = entries.get(node)
    if (existing !== undefined) return existing
    const entry = { outstanding: 0, reportedLoad: 0, sentSinceReport: 0 }
    entries.set(node, entry)
    return entry
  }

  function noteReported (node: types.NodeId, reported: ReportedLoad): void {
    const entry = findOrCreate(node)
    entry.reportedLoad = reported.running + reported.waiting
    entry.sentSinceReport = 0
  }

  return {
    noteReported,
    noteSent: (node) => {
      const entry = findOrCreate(node)
      entry.outstanding += 1
      entry.sentSinceReport += 1
    },
    noteEnded: (node, reported) => {
      const entry = findOrCreate(node)
      entry.outstanding -= 1
      if (reported !== undefined) noteReported(node, reported)
      else entry.reportedLoad = Math.max(0, entry.reportedLoad - 1)
    },
    readCandidate: (node, limit, queue) => {
      const entry = findOrCreate(node)
      return { node, limit, queue, reportedLoad: entry.reportedLoad, load: Math.max(entry.outstanding, entry.reportedLoad + entry.sentSinceReport) }
    },
    outstanding: (node) => findOrCreate(node).outstanding,
    forget: (node) => { entries.delete(node) }
  }
}
