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

/**
 * Engines change in waves, so that the others serve. The first waves break off what runs for longer,
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
  const early = input.engines > 1 ? WAVES.find((wave) => place < wave.upTo) : undefined
  const at = Math.max(input.wholeAt, input.boundAt - (early ?? LAST_WAVE).beforeBoundMs)
  const mayGoOnElsewhere = early !== undefined && at <= input.boundAt - BREAKING_BEFORE_BOUND_MS
  return { at, method: mayGoOnElsewhere ? 'break-off' : 'finish' }
}
