/** Limits extra attempts to a fraction of the calls, so that retries cannot amplify an overload. */

/** The retry budget of one service at one entry node. */
export interface RetryBudget {
  /** Records a call, which adds a fraction of an extra attempt to the budget. */
  readonly noteCall: () => void
  /** Takes one extra attempt from the budget; returns false when less than one is left. */
  readonly trySpend: () => boolean
  readonly setRatio: (ratio: number) => void
  /** Returns the extra attempts that are left, including a fraction. */
  readonly readBalance: () => number
}

/** Extra attempts that the budget allows beyond the fraction of calls. */
const RESERVE_ATTEMPTS = 5

/**
 * Creates a retry budget. It starts with the reserve, or with a part of it for a ratio below 0.1, and grows to at most the reserve plus what 100 calls add.
 *
 * @param ratio - Extra attempts as a fraction of calls; 0.1 allows one for every ten calls.
 * @returns The budget.
 */
export function createRetryBudget (ratio: number): RetryBudget {
  let balance = RESERVE_ATTEMPTS * Math.min(1, ratio * 10)
  let currentRatio = ratio
  return {
    noteCall: () => { balance = Math.min(balance + currentRatio, RESERVE_ATTEMPTS + currentRatio * 100) },
    trySpend: () => {
      if (balance < 1) return false
      balance -= 1
      return true
    },
    setRatio: (next) => { currentRatio = next },
    readBalance: () => balance
  }
}
