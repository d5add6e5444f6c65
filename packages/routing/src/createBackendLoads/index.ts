/** What an entry node knows of the load of backend servers: their last word, and what it sent since. */
import type * as types from '@switchridge/types'

/** Load as a backend daemon states it on answers and heartbeats. */
export interface StatedLoad {
  readonly running: number
  readonly waiting: number
  readonly limit: number
  readonly queue: number
}

/** A backend server to choose from. */
export interface Candidate {
  readonly node: types.NodeId
  /** Calls that run or wait there, as far as this entry node knows. */
  readonly load: number
  /** Calls that run there at a time. */
  readonly limit: number
  /** Calls that may wait there. */
  readonly queue: number
  /** Load as last stated, without what was sent since. */
  readonly statedLoad: number
}

/** The loads of all backend servers. */
export interface BackendLoads {
  readonly noteSent: (node: types.NodeId) => void
  /** Notes the end of an attempt, with the load stated on its answer if there was one. */
  readonly noteEnded: (node: types.NodeId, reported?: StatedLoad) => void
  readonly noteStated: (node: types.NodeId, reported: StatedLoad) => void
  readonly readCandidate: (node: types.NodeId, limit: number, queue: number) => Candidate
  readonly outstanding: (node: types.NodeId) => number
  readonly forget: (node: types.NodeId) => void
}

interface Entry {
  outstanding: number
  reportedLoad: number
  sentSinceReport: number
}

/**
 * Creates an empty record of loads.
 *
 * @returns The loads.
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

  function noteReported (node: types.NodeId, reported: StatedLoad): void {
    const entry = findOrCreate(node)
    entry.reportedLoad = reported.running + reported.waiting
    entry.sentSinceReport = 0
  }

  return {
    noteStated: noteReported,
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
      return { node, limit, queue, statedLoad: entry.reportedLoad, load: Math.max(entry.outstanding, entry.reportedLoad + entry.sentSinceReport) }
    },
    outstanding: (node) => findOrCreate(node).outstanding,
    forget: (node) => { entries.delete(node) }
  }
}
