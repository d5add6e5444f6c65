/** Bounds extra attempts to a share of calls, so that retries cannot multiply an overload. */

/** The budget of one service at one entry node. */
export interface RetryBudget {
  /** Notes a call; it earns a part of an extra attempt. */
  readonly earn: () => void
  /** Takes one extra attempt if the budget has it. */
  readonly trySpend: () => boolean
  readonly setRatio: (ratio: number) => void
}

const RESERVE_ATTEMPTS = 5

/**
 * Creates a budget.
 *
 * @param ratio - Extra attempts as a share of calls, 0.1 for one in ten.
 * @returns The budget, with a small reserve to begin with.
 */
export function createRetryBudget (ratio: number): RetryBudget {
  let balance = RESERVE_ATTEMPTS * Math.min(1, ratio * 10)
  let currentRatio = ratio
  return {
    earn: () => { balance = Math.min(balance + currentRatio, RESERVE_ATTEMPTS + currentRatio * 100) },
    trySpend: () => {
      if (balance < 1) return false
      balance -= 1
      return true
    },
    setRatio: (next) => { currentRatio = next }
  }
}
