/** Bounds extra attempts to a share of calls, so that retries cannot multiply an overload. */

/** The budget of one service at one entry node. */
export interface RetryBudget {
  /** Notes a call; it earns a part of an extra attempt. */
  readonly earn: () => void
  /** Takes one extra attempt if the budget has it. */
  readonly trySpend: () => boolean
  readonly setRatio: (ratio: number) => void
}

const RESERVE = 5

/**
 * Creates a budget.
 *
 * @param ratio - Extra attempts as a share of calls, 0.1 for one in ten.
 * @returns The budget, with a small reserve to begin with.
 */
export function createRetryBudget (ratio: number): RetryBudget {
  let earned = RESERVE * Math.min(1, ratio * 10)
  let share = ratio
  return {
    earn: () => { earned = Math.min(earned + share, RESERVE + share * 100) },
    trySpend: () => {
      if (earned < 1) return false
      earned -= 1
      return true
    },
    setRatio: (next) => { share = next }
  }
}
