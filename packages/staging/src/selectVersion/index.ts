/** Decides which of the named versions an agent fetches now. */
import type * as staging from '../types/index.js'

/** What the decision depends on. */
export interface VersionPlanInput {
  /** Newest version that needs no fetching any more, 0 for none. */
  readonly held: number
  /** Older versions were given up and are not taken up again. */
  readonly notBelow: number
  /** Versions named for the model, in any order. */
  readonly named: readonly staging.NamedVersion[]
  /** Part of a version's pieces that this agent has, from 0 to 1. */
  readonly progressOf: (version: number) => number
  /** Milliseconds that fetching a whole version takes. */
  readonly wholeMs: number
  readonly now: number
}

/** Milliseconds that an engine needs from its order until it serves the new version. */
export const SWITCH_MS = 1200

/**
 * Chooses the newest version if it can serve before the bound of every one, since an engine that changes once
 * loses less. Else the oldest one that is newer than the engine's and can still serve before its bound; the
 * newest one is never skipped, because nothing else may serve after its bound.
 *
 * @param input - Versions, progress and time.
 * @returns The version to fetch, or null when the engine has the newest one.
 */
export function selectVersion (input: VersionPlanInput): staging.NamedVersion | null {
  const wanted = input.named
    .filter((named) => named.id.version > input.held && named.id.version >= input.notBelow)
    .sort((left, right) => left.id.version - right.id.version)
  const newest = wanted[wanted.length - 1]
  if (newest === undefined) return null
  if (input.held === 0 || canServeBefore(newest, oldestBound(wanted), input)) return newest
  return wanted.find((named) => named === newest || canServeBefore(named, named.boundAt, input)) ?? newest
}

function oldestBound (wanted: readonly staging.NamedVersion[]): number {
  return wanted.reduce((oldest, named) => Math.min(oldest, named.boundAt), Infinity)
}

function canServeBefore (named: staging.NamedVersion, boundAt: number, input: VersionPlanInput): boolean {
  const missingMs = (1 - input.progressOf(named.id.version)) * input.wholeMs
  return input.now + missingMs + SWITCH_MS < boundAt
}
