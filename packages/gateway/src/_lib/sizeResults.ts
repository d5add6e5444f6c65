/** Compares how often calls of different sizes are served, from the outcomes of the load simulation. */
import type * as loadSimulation from './loadSimulation.js'

type SizeOf = (outcome: loadSimulation.CallOutcome) => number

/** Served rates of the largest calls of a stream class, relative to that of the whole class. */
export interface SizeRatios {
  /** Of the fifth of the calls just below the largest tenth. */
  readonly fifth: number
  readonly tenth: number
}

const TENTH = 0.1
const FIFTH = 0.2
/** Share of the credit of a call that does not depend on its size. */
const FIXED_CREDIT = 0.3
const LATE_CREDIT_FRACTION = 0.25
const MAXIMUM_CREDIT = 4
/** Writing a token counts as much as reading this many. */
const ANSWER_TOKEN_WEIGHT = 10

/** Size of a call by its prompt alone. */
export const promptSize: SizeOf = ({ promptTokens }) => promptTokens

/** Size of a call by the tokens that are read and written for it. */
export const wholeSize: SizeOf = ({ promptTokens, answerTokens }) => promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens

/**
 * Computes how often the largest calls of a class were served, relative to all of its calls.
 *
 * @param outcomes - The calls of the class.
 * @param sizeOf - Size of a call.
 * @returns The ratios; 1 is as often as all calls.
 */
export function computeSizeRatios (outcomes: readonly loadSimulation.CallOutcome[], sizeOf: SizeOf): SizeRatios {
  const sorted = [...outcomes].sort((left, right) => sizeOf(right) - sizeOf(left))
  const tenths = Math.floor(sorted.length * TENTH)
  const fifthsEnd = Math.floor(sorted.length * (TENTH + FIFTH))
  const all = computeServedRate(outcomes)
  return { fifth: computeServedRate(sorted.slice(tenths, fifthsEnd)) / all, tenth: computeServedRate(sorted.slice(0, tenths)) / all }
}

/** Computes the credit of a class's calls as a fraction of what it would be if all were served in time; larger calls count more. */
export function computeCredit (outcomes: readonly loadSimulation.CallOutcome[]): number {
  const mean = outcomes.reduce((sum, outcome) => sum + wholeSize(outcome), 0) / outcomes.length
  const creditOf = (outcome: loadSimulation.CallOutcome): number => Math.min(MAXIMUM_CREDIT, FIXED_CREDIT + (1 - FIXED_CREDIT) * wholeSize(outcome) / mean)
  const owed = outcomes.reduce((sum, outcome) => sum + creditOf(outcome), 0)
  const fractions = { 'in-time': 1, late: LATE_CREDIT_FRACTION, unserved: 0 }
  return outcomes.reduce((sum, outcome) => sum + creditOf(outcome) * fractions[outcome.ending], 0) / owed
}

function computeServedRate (outcomes: readonly loadSimulation.CallOutcome[]): number {
  return outcomes.filter(({ ending }) => ending !== 'unserved').length / outcomes.length
}
