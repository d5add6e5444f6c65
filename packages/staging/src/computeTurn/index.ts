/** When an engine may change its version, so that the others of its zone keep serving. */

/** What the turn depends on. */
export interface TurnInput {
  /** Version that the engine runs, 0 for none. */
  readonly held: number
  /** Place of the engine among those of its zone. */
  readonly rank: number
  readonly engines: number
  /** Monotonic time in milliseconds at which the version was whole here. */
  readonly wholeAt: number
  /** Monotonic time in milliseconds after which nothing may begin on an older version. */
  readonly boundAt: number
}

/** Engines of a zone change their version in so many turns. */
const TURNS = 3
const TURN_MS = 800
/** The last turn begins so long before the bound. */
const LAST_TURN_RESERVE_MS = 1700

/**
 * Computes the time of an engine's turn. An empty engine serves nobody and goes at once.
 *
 * @param input - The engine's place, and the version's times.
 * @returns Monotonic time in milliseconds.
 */
export function computeTurn (input: TurnInput): number {
  if (input.held === 0) return input.wholeAt
  const turn = Math.floor(Math.max(0, input.rank) * TURNS / Math.max(1, input.engines))
  const lastTurnAt = input.boundAt - LAST_TURN_RESERVE_MS
  const firstTurnAt = Math.min(input.wholeAt, lastTurnAt - (TURNS - 1) * TURN_MS)
  return Math.max(input.wholeAt, firstTurnAt + turn * TURN_MS)
}
