/** When an engine may change its version, so that the others keep serving. */

/** What the turn depends on. */
export interface TurnInput {
  /** Version that the engine runs, 0 for none. */
  readonly held: number
  /** Place of the engine among all that change. */
  readonly rank: number
  readonly engines: number
  /** Monotonic time in milliseconds at which the version was whole here. */
  readonly wholeAt: number
  /** Monotonic time in milliseconds after which nothing may begin on an older version. */
  readonly boundAt: number
}

/** The last turn begins so long before the bound: what runs there has to end first. */
const LAST_TURN_RESERVE_MS = 1900
/** Turns are spread over this time; engines that have the version later go as soon as they can. */
const TURNS_MS = 1300

/**
 * Computes the time of an engine's turn. An empty engine serves nobody and goes at once.
 *
 * @param input - The engine's place, and the version's times.
 * @returns Monotonic time in milliseconds.
 */
export function computeTurn (input: TurnInput): number {
  if (input.held === 0 || !Number.isFinite(input.boundAt)) return input.wholeAt
  const place = Math.max(0, input.rank) / Math.max(1, input.engines)
  const turnAt = input.boundAt - LAST_TURN_RESERVE_MS - TURNS_MS * (1 - place)
  return Math.max(input.wholeAt, turnAt)
}
