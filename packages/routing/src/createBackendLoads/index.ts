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
  readonly noteEnded: (node: types.NodeId, stated?: StatedLoad) => void
  readonly noteStated: (node: types.NodeId, stated: StatedLoad) => void
  readonly readCandidate: (node: types.NodeId, limit: number, queue: number) => Candidate
  readonly outstanding: (node: types.NodeId) => number
  readonly forget: (node: types.NodeId) => void
}

interface Entry {
  outstanding: number
  stated: number
  sentSince: number
}

/**
 * Creates an empty record of loads.
 *
 * @returns The loads.
 */
export function createBackendLoads (): BackendLoads {
  const entries = new Map<types.NodeId, Entry>()

  function find (node: types.NodeId): Entry {
    const known = entries.get(node)
    if (known !== undefined) return known
    const entry = { outstanding: 0, stated: 0, sentSince: 0 }
    entries.set(node, entry)
    return entry
  }

  function noteStated (node: types.NodeId, stated: StatedLoad): void {
    const entry = find(node)
    entry.stated = stated.running + stated.waiting
    entry.sentSince = 0
  }

  return {
    noteStated,
    noteSent: (node) => {
      const entry = find(node)
      entry.outstanding += 1
      entry.sentSince += 1
    },
    noteEnded: (node, stated) => {
      const entry = find(node)
      entry.outstanding -= 1
      if (stated !== undefined) noteStated(node, stated)
      else entry.stated = Math.max(0, entry.stated - 1)
    },
    readCandidate: (node, limit, queue) => {
      const entry = find(node)
      return { node, limit, queue, statedLoad: entry.stated, load: Math.max(entry.outstanding, entry.stated + entry.sentSince) }
    },
    outstanding: (node) => find(node).outstanding,
    forget: (node) => { entries.delete(node) }
  }
}
