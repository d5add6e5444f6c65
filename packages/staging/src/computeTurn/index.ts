/** When an engine may change its version, so that the others keep serving. */
import type * as staging from '../types/index.js'

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

/** An engine's turn to change its version. */
export interface Turn {
  /** Monotonic time in milliseconds. */
  readonly at: number
  readonly method: staging.SwitchMethod
}

/**
 * Engines of this part change one after the other, from when the version is whole; each breaks off what runs for longer, and it goes on at
 * an engine that changes later. The others finish what runs, because there is nowhere to go on.
 */
const EARLY_PART = 0.7
/**
 * The last of them changes so long before the bound, and serves again 0.7 s later. With waves of a third of the engines, 9 of 14 were out of
 * service at a time, and 0.57 of the worth of the calls of those two seconds was earned.
 */
const EARLY_BEFORE_BOUND_MS = 2300
/** The others change when nothing may be sent to the old version any more. */
const LAST_BEFORE_BOUND_MS = 1700
/** A call that is broken off later than this before the bound may not begin anew on the old version in time. */
const BREAKING_BEFORE_BOUND_MS = 1600

/**
 * Computes the time of an engine's turn. An empty engine serves nobody and goes at once.
 *
 * @param input - The engine's place, and the version's times.
 * @returns The time, and what becomes of running calls.
 */
export function computeTurn (input: TurnInput): Turn {
  if (input.held === 0 || !Number.isFinite(input.boundAt)) return { at: input.wholeAt, method: 'finish' }
  const place = Math.max(0, input.rank) / Math.max(1, input.engines)
  const isEarly = input.engines > 1 && place < EARLY_PART
  const at = isEarly ? spreadTurn(place, input) : Math.max(input.wholeAt, input.boundAt - LAST_BEFORE_BOUND_MS)
  const mayGoOnElsewhere = isEarly && at <= input.boundAt - BREAKING_BEFORE_BOUND_MS
  return { at, method: mayGoOnElsewhere ? 'break-off' : 'finish' }
}

function spreadTurn (place: number, { wholeAt, boundAt }: TurnInput): number {
  const spreadMs = Math.max(0, boundAt - EARLY_BEFORE_BOUND_MS - wholeAt)
  return wholeAt + spreadMs * place / EARLY_PART
}
