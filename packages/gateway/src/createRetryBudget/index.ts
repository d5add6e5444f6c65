/** Bounds the arrivals at a service beyond the first of each call, over all gateways together. */

/** Limits that all gateways share. */
export interface RetryBudgetLimits {
  /** Extra arrivals as a share of calls. */
  readonly ratio: number
  /** Extra arrivals in a window beyond that share. */
  readonly slack: number
  readonly windowMs: number
}

/** The part of one gateway in the budget of one service. */
export interface RetryBudget {
  readonly noteCall: () => void
  /** Takes one extra arrival if the window has room for it. */
  readonly trySpend: () => boolean
}

/** Part of the shared limits that gateways use, so that windows that do not line up still keep them. */
const SAFETY_PART = 0.6

/**
 * Creates the part of one gateway. Calls earn by its own traffic; the slack is split evenly over the gateways.
 *
 * @param limits - The shared limits.
 * @param countGateways - Reads how many gateways may be alive, this one included.
 * @param now - Monotonic clock in milliseconds.
 * @returns The budget; a new life begins without the slack of its first window, since an earlier life may have spent it.
 */
export function createRetryBudget (limits: RetryBudgetLimits, countGateways: () => number, now: () => number): RetryBudget {
  const calls: number[] = []
  const spent: number[] = []
  const startedAt = now()

  function expire (times: number[]): void {
    const oldest = now() - limits.windowMs
    let gone = 0
    while (gone < times.length && (times[gone] as number) < oldest) gone += 1
    if (gone > 0) times.splice(0, gone)
  }

  function allowed (): number {
    expire(calls)
    const isFirstWindow = now() - startedAt < limits.windowMs
    const slack = isFirstWindow ? 0 : limits.slack / Math.max(1, countGateways())
    return SAFETY_PART * (limits.ratio * calls.length + slack)
  }

  return {
    noteCall: () => { calls.push(now()) },
    trySpend: () => {
      expire(spent)
      if (spent.length + 1 > allowed()) return false
      spent.push(now())
      return true
    }
  }
}
