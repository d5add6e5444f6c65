/** Forecasts how many calls the engines of a service begin within some time, while some of them are about to return. */
import type * as gateway from '../types/index.js'

/** An engine that serves, or that is expected to. */
export interface ForecastEngine {
  readonly slots: number
  /** Slots that are free when it serves. */
  readonly freeSlots: number
  /** Milliseconds until it serves; 0 if it does now. */
  readonly readyInMs: number
}

/** The forecast for one service. */
export interface Forecast {
  /** Milliseconds until the first engine serves, at the latest. */
  readonly firstInMs: number
  /** Number of calls that the engines begin within a time; engines are assumed to return as late as the errors of the estimates permit. */
  readonly countStarts: (withinMs: number) => number
  /** The same if they return as early as that error permits. */
  readonly countStartsAtBest: (withinMs: number) => number
  /** Milliseconds until so many calls have begun; Infinity if that is beyond {@link HORIZON_MS}. */
  readonly computeWaitMs: (starts: number) => number
}

/** The estimate of one engine may be wrong by this fraction of the remaining time in each direction. */
const ESTIMATE_ERROR_FRACTION = 0.3
/** This part of the error may be common to all engines; the rest is independent and averages out over them. */
const COMMON_ERROR_FRACTION = 0.1
/** Even if all estimates are wrong by the whole error, the engines must be able to begin one call out of so many. */
const WORST_CASE_FACTOR = 2
/** Time until gateways learn that an engine has returned. */
const NOTIFICATION_MS = 100
const HORIZON_MS = 20_000
/** Resolution of the forecast. */
const STEP_MS = 50
/** Delay of the first free slots of an engine that returned empty, as a fraction of the time for which a call occupies a slot. */
const EMPTY_START_FRACTION = 0.5
/** Steps per generated token on average, because a busy engine also reads other prompts meanwhile. */
const STEPS_PER_TOKEN = 1.6

/**
 * Computes the forecast.
 *
 * @param engines - Engines that serve, and those whose return is estimated.
 * @param holdMs - Milliseconds for which a call occupies a slot on average.
 * @returns The forecast, or null if no engine serves and no return is estimated.
 */
export function computeForecast (engines: readonly ForecastEngine[], holdMs: number): Forecast | null {
  if (engines.length === 0 || holdMs <= 0) return null
  const errorFraction = COMMON_ERROR_FRACTION + (ESTIMATE_ERROR_FRACTION - COMMON_ERROR_FRACTION) / Math.sqrt(engines.length)
  const latest = (readyInMs: number): number => readyInMs === 0 ? 0 : readyInMs / (1 - errorFraction) + NOTIFICATION_MS
  const earliest = (readyInMs: number): number => readyInMs / (1 + ESTIMATE_ERROR_FRACTION)
  const stated = (readyInMs: number): number => readyInMs

  function count (withinMs: number, expect: (readyInMs: number) => number): number {
    let starts = 0
    for (const { slots, freeSlots, readyInMs } of engines) {
      const servingMs = withinMs - expect(readyInMs)
      if (servingMs < 0) continue
      // Calls that begin together also end together: a slot of an engine that returns empty is freed half of that time later than on average.
      starts += readyInMs === 0 ? freeSlots + slots * servingMs / holdMs : freeSlots + slots * Math.max(0, servingMs / holdMs - EMPTY_START_FRACTION)
    }
    return starts
  }

  /** Counts the starts within a time, rounded down to {@link STEP_MS}; each result is computed once. */
  function createCounter (expect: (readyInMs: number) => number): (withinMs: number) => number {
    const results: number[] = []
    return (withinMs) => {
      const step = Math.floor(withinMs / STEP_MS)
      if (step < 0) return 0
      results[step] ??= count(step * STEP_MS, expect)
      return results[step]
    }
  }

  const countLatest = createCounter(latest)
  const countWorst = createCounter((readyInMs) => readyInMs === 0 ? 0 : readyInMs / (1 - ESTIMATE_ERROR_FRACTION) + NOTIFICATION_MS)

  return {
    firstInMs: Math.min(...engines.map(({ readyInMs }) => latest(readyInMs))),
    countStarts: (withinMs) => Math.min(countLatest(withinMs), countWorst(withinMs) * WORST_CASE_FACTOR),
    countStartsAtBest: createCounter(earliest),
    computeWaitMs: (starts) => {
      for (let waitMs = 0; waitMs <= HORIZON_MS; waitMs += STEP_MS) if (count(waitMs, stated) >= starts) return waitMs
      return Infinity
    }
  }
}

/**
 * Computes for how long a call occupies a slot of a busy engine.
 *
 * @param figures - Speeds of the service's engines.
 * @param promptTokens - Length of the prompt.
 * @param answerTokens - Expected length of the response; 0 for the usual one.
 * @returns Milliseconds; null if a figure is missing.
 */
export function computeHoldMs (figures: gateway.EngineFigures, promptTokens: number, answerTokens: number): number | null {
  const { slots, stepMs, stepMsPerSequence, prefillTokensPerMs, usualAnswerTokens } = figures
  const tokens = answerTokens > 0 ? answerTokens : usualAnswerTokens
  if (stepMs === null || prefillTokensPerMs === null || tokens === null) return null
  return promptTokens / prefillTokensPerMs + tokens * (stepMs + (stepMsPerSequence ?? 0) * slots) * STEPS_PER_TOKEN
}
