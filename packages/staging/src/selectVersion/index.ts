/** Selects which of the named versions an agent fetches. */
import type * as staging from '../types/index.js'

/** What the selection depends on. */
export interface SelectVersionInput {
  /** Newest version that need not be fetched any more, 0 for none. */
  readonly held: number
  /** Older versions were abandoned and are not fetched again. */
  readonly minimumVersion: number
  /** Versions named for the model, in any order. */
  readonly named: readonly staging.NamedVersion[]
  /** Fraction of a version's pieces that this agent has, from 0 to 1. */
  readonly progressOf: (version: number) => number
  /** Milliseconds that fetching all pieces of a version takes. */
  readonly fullFetchMs: number
  /** Monotonic time in milliseconds. */
  readonly now: number
}

/** Milliseconds from the order to an engine until it serves the new version. */
export const SWITCH_MS = 1200

/**
 * Selects the newest version if it can be served before the deadlines of all candidates, since an engine that changes only once
 * loses less capacity. Otherwise selects the oldest candidate that can still be served before its own deadline. The newest one is
 * never skipped, because no other version may be served after its deadline.
 *
 * @param input - Versions, progress and current time.
 * @returns The version to fetch, or null when the engine has the newest one.
 */
export function selectVersion (input: SelectVersionInput): staging.NamedVersion | null {
  const candidates = input.named
    .filter((named) => named.id.version > input.held && named.id.version >= input.minimumVersion)
    .sort((left, right) => left.id.version - right.id.version)
  const newest = candidates[candidates.length - 1]
  if (newest === undefined) return null
  if (input.held === 0 || canServeBy(newest, findEarliestDeadline(candidates), input)) return newest
  return candidates.find((named) => named === newest || canServeBy(named, named.deadlineAt, input)) ?? newest
}

function findEarliestDeadline (candidates: readonly staging.NamedVersion[]): number {
  return candidates.reduce((earliest, named) => Math.min(earliest, named.deadlineAt), Infinity)
}

function canServeBy (named: staging.NamedVersion, deadlineAt: number, input: SelectVersionInput): boolean {
  const remainingMs = (1 - input.progressOf(named.id.version)) * input.fullFetchMs
  return input.now + remainingMs + SWITCH_MS < deadlineAt
}
