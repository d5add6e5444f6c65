/** Limits retries: requests that reach a service beyond the first attempt of each call, summed over all gateways. */

/** Limits that all gateways share. */
export interface RetryBudgetLimits {
  /** Retries as a fraction of calls. */
  readonly ratio: number
  /** Retries allowed per window beyond that fraction. */
  readonly slack: number
  /** Length in milliseconds of the sliding window over which calls and retries are counted. */
  readonly windowMs: number
}

/** One gateway's share of a service's retry budget. */
export interface RetryBudget {
  /** Records a call, which raises the budget for one window. */
  readonly noteCall: () => void
  /** Spends one retry if the window has room for it; returns whether it had. */
  readonly trySpend: () => boolean
}

/** Fraction of the shared limits that gateways use, so that the limits also hold over windows that are not aligned. */
const SAFETY_FRACTION = 0.6

/**
 * Creates one gateway's share. The fraction applies to its own calls; the fixed allowance is divided evenly among the gateways.
 *
 * @param limits - The shared limits.
 * @param countGateways - Returns how many gateways may be alive, including this one.
 * @param now - Monotonic clock in milliseconds.
 * @returns The budget. A restarted gateway has no fixed allowance in its first window, because the previous process may have spent it.
 */
export function createRetryBudget (limits: RetryBudgetLimits, countGateways: () => number, now: () => number): RetryBudget {
  const calls: number[] = []
  const spent: number[] = []
  const startedAt = now()

  function removeExpired (times: number[]): void {
    const oldest = now() - limits.windowMs
    let expiredCount = 0
    while (expiredCount < times.length && (times[expiredCount] as number) < oldest) expiredCount += 1
    if (expiredCount > 0) times.splice(0, expiredCount)
  }

  function computeAllowance (): number {
    removeExpired(calls)
    const isFirstWindow = now() - startedAt < limits.windowMs
    const slack = isFirstWindow ? 0 : limits.slack / Math.max(1, countGateways())
    return SAFETY_FRACTION * (limits.ratio * calls.length + slack)
  }

  return {
    noteCall: () => { calls.push(now()) },
    trySpend: () => {
      removeExpired(spent)
      if (spent.length + 1 > computeAllowance()) return false
      spent.push(now())
      return true
    }
  }
}
