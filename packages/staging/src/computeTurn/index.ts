/** Schedules when each engine changes its version, so that the other engines keep serving. */
import type * as staging from '../types/index.js'

/** What an engine's turn depends on. */
export interface TurnInput {
  /** Version that the engine runs, 0 for none. */
  readonly held: number
  /** Position of the engine in the order of all engines that change. */
  readonly rank: number
  readonly engines: number
  /** Monotonic time in milliseconds at which this agent had the complete version. */
  readonly completeAt: number
  /** Monotonic time in milliseconds after which no call may begin on an older version. */
  readonly deadlineAt: number
}

/** When and how an engine changes its version. */
export interface Turn {
  /** Monotonic time in milliseconds. */
  readonly at: number
  readonly method: staging.SwitchMethod
}

/** A group of engines that change at the same time. */
interface Wave {
  /** Fraction of the engines that change in this wave or an earlier one. */
  readonly upToFraction: number
  readonly leadMs: number
}

/** Time between the last turn of a rolling change and the deadline; it covers the running calls, the change itself, and an order that must be repeated. */
const LAST_TURN_LEAD_MS = 2600
/**
 * Shortest time over which engines change one after the other. An engine accepts no new calls for about 1.3 s while it completes running ones and changes, so
 * over this time at most 0.45 of the engines are unavailable at once, most of them still completing calls; in less time, waves that abort running calls cost
 * less capacity.
 */
const ROLLING_MINIMUM_MS = 2900
/**
 * Where the time is too short for a rolling change, engines change in waves, so that the others keep serving. The first waves abort running calls, which
 * continue at an engine of a later wave; the last wave completes them, because no engine is left to continue them.
 */
const WAVES: readonly Wave[] = [{ upToFraction: 0.33, leadMs: 3200 }, { upToFraction: 0.66, leadMs: 2000 }]
const LAST_WAVE: Wave = { upToFraction: 1, leadMs: 1600 }
/** A call that is aborted closer to the deadline than this may not begin again on the old version in time. */
const BREAK_OFF_LEAD_MS = 1600

/**
 * Computes an engine's turn. An engine without a version serves nobody and changes at once.
 *
 * @param input - The engine's position, and the version's times.
 * @returns The time of the change, and what happens to running calls.
 */
export function computeTurn (input: TurnInput): Turn {
  if (input.held === 0 || !Number.isFinite(input.deadlineAt)) return { at: input.completeAt, method: 'finish' }
  const position = Math.max(0, input.rank) / Math.max(1, input.engines)
  const rollingMs = input.deadlineAt - LAST_TURN_LEAD_MS - input.completeAt
  if (rollingMs >= ROLLING_MINIMUM_MS) return { at: input.completeAt + position * rollingMs, method: 'finish' }
  return computeWave(position, input)
}

function computeWave (position: number, { engines, completeAt, deadlineAt }: TurnInput): Turn {
  const earlyWave = engines > 1 ? WAVES.find((wave) => position < wave.upToFraction) : undefined
  const at = Math.max(completeAt, deadlineAt - (earlyWave ?? LAST_WAVE).leadMs)
  const canContinueElsewhere = earlyWave !== undefined && at <= deadlineAt - BREAK_OFF_LEAD_MS
  return { at, method: canContinueElsewhere ? 'break-off' : 'finish' }
}
