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

/** A wave of engines that change at the same time. */
interface Wave {
  /** Part of the engines that change in this wave or before it. */
  readonly upTo: number
  readonly beforeBoundMs: number
}

/** The last of the turns that come one after the other leaves time to finish what runs, for the change, and for an order that must be given again. */
const LAST_TURN_BEFORE_BOUND_MS = 2600
/**
 * An engine takes nothing new for about 1.3 s while it finishes what runs and changes. So over this time at most 0.45 of the engines are out
 * at once, most of them still at work; in less time, waves that break off what runs take less away.
 */
const SHORTEST_ROW_MS = 2900
/**
 * Where the time is too short for turns in a row, engines change in waves, so that the others serve. The first waves break off what runs for longer,
 * and it goes on at an engine of a later wave; the last one finishes what runs, because there is nowhere to go on.
 */
const WAVES: readonly Wave[] = [{ upTo: 0.33, beforeBoundMs: 3200 }, { upTo: 0.66, beforeBoundMs: 2000 }]
const LAST_WAVE: Wave = { upTo: 1, beforeBoundMs: 1600 }
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
  const rowMs = input.boundAt - LAST_TURN_BEFORE_BOUND_MS - input.wholeAt
  if (rowMs >= SHORTEST_ROW_MS) return { at: input.wholeAt + place * rowMs, method: 'finish' }
  return computeWave(place, input)
}

function computeWave (place: number, { engines, wholeAt, boundAt }: TurnInput): Turn {
  const early = engines > 1 ? WAVES.find((wave) => place < wave.upTo) : undefined
  const at = Math.max(wholeAt, boundAt - (early ?? LAST_WAVE).beforeBoundMs)
  const mayGoOnElsewhere = early !== undefined && at <= boundAt - BREAKING_BEFORE_BOUND_MS
  return { at, method: mayGoOnElsewhere ? 'break-off' : 'finish' }
}
