/** Grants permits for requests to rate-limited back ends. One daemon, the counter of a back end, does so for all gateways. */
import * as types from '@switchridge/types'
import type * as rateLimits from '../types/index.js'

/** The permit counter of one daemon, for any number of back ends. */
export interface PermitCounter {
  /**
   * Takes a permit for one request, if one is available.
   *
   * @param limit - The limits as the requesting gateway knows them. The advertised one that was received last from the back end applies, and the lower one of
   * it and the rate of a cold back end.
   * @param part - Fraction of the rate that this daemon may grant.
   * @param isLate - Whether the answer to the request will miss its target time.
   */
  readonly take: (limit: rateLimits.LimitInForce, part: number, isLate?: boolean) => rateLimits.PermitDecision
}

/** Lowest rate, one request every five seconds, whatever the limit: without responses from the back end the end of its limit would go unnoticed. */
const MINIMUM_PER_SECOND = 0.2
/**
 * Burst capacity of the token bucket: the permits of a quarter of a second and one more. Unused permits are kept up to it, so that short lulls don't waste the
 * limit. It leaves half of the burst that a limit tolerates to requests in flight.
 */
const BURST_SECONDS = 0.25
const MINIMUM_BURST = 1
/** A limit applies for this long after the last request that states it, also to requests of gateways that don't know it yet. */
const STATED_LIMIT_MS = 1000
/**
 * A late call gets a permit only while the token bucket is filled to this fraction. Otherwise retries of refused late calls would take the permits of calls that
 * can still meet their target time, and hardly any would where all back ends are limited.
 */
const LATE_FILL_FRACTION = 0.9
/** Wait that a refused late call is told, and a call that yields to a higher rank. */
const LATE_WAIT_MS = 300
/** Calls of lower ranks yield for this long after a refused call of a higher rank, which may return or have others behind it. */
const YIELD_MS = 300
/** Longest wait behind other waiting gateways, however many there are: some of them may have no call left. */
const MAXIMUM_WAIT_MS = 1000
/** Time after which the state of a back end without requests is removed. */
const IDLE_RETENTION_MS = 60_000

interface LimitState {
  readonly bucket: types.TokenBucket
  /** The advertised limit; its rate is null if no gateway knows one. */
  limit: rateLimits.RateLimit
  /** When a request last stated an advertised limit. */
  limitStatedAt: number
  /** Limit while the back end is cold; applies for {@link STATED_LIMIT_MS} after `coldStatedAt`. */
  cold: rateLimits.ColdLimit | null
  coldStatedAt: number
  /** Permits per second that this daemon may grant. */
  rate: number
  requestedAt: number
  /** Times until which lower ranks yield to a rank. */
  readonly yieldUntil: Map<number, number>
  /** The latest of the times at which refused gateways were told to ask again. */
  lastRetryAt: number
}

/**
 * Creates a permit counter.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The counter. It starts without permits for each back end, since another daemon may have granted some just before.
 */
export function createPermitCounter (now: () => number): PermitCounter {
  const states = new Map<types.BackEndInstanceId, LimitState>()

  function findOrCreate (limit: rateLimits.RateLimit): LimitState {
    const existing = states.get(limit.life)
    if (existing !== undefined) return existing
    for (const [life, { requestedAt }] of states) if (now() - requestedAt > IDLE_RETENTION_MS) states.delete(life)
    const state = { bucket: types.createTokenBucket({ perSecond: 0, capacity: 0, tokens: 0, now }), limit, limitStatedAt: -Infinity, cold: null, coldStatedAt: -Infinity, rate: 0, requestedAt: now(), yieldUntil: new Map<number, number>(), lastRetryAt: 0 }
    states.set(limit.life, state)
    return state
  }

  /** Queues a refused gateway behind those that already wait; returns the milliseconds until it should ask again. */
  function assignWaitMs (state: LimitState): number {
    const nextAt = now() + state.bucket.waitMs()
    const queuedAt = Math.max(nextAt, state.lastRetryAt + types.MILLISECONDS_IN_SECOND / state.rate)
    state.lastRetryAt = Math.max(nextAt, Math.min(queuedAt, now() + MAXIMUM_WAIT_MS))
    return state.lastRetryAt - now()
  }

  /** Whether calls of a higher rank were refused a moment ago. */
  function mustYield ({ yieldUntil }: LimitState, rank: number): boolean {
    for (const [other, until] of yieldUntil) {
      if (until <= now()) yieldUntil.delete(other)
      else if (other < rank) return true
    }
    return false
  }

  function noteLimits (state: LimitState, limit: rateLimits.LimitInForce): void {
    if (limit.perSecond !== null) {
      if (state.limit.perSecond === null || limit.receivedAt > state.limit.receivedAt) state.limit = limit
      state.limitStatedAt = now()
    } else if (now() - state.limitStatedAt > STATED_LIMIT_MS) state.limit = { ...limit, perSecond: null }
    if (limit.cold !== undefined) {
      state.cold = limit.cold
      state.coldStatedAt = now()
    }
  }

  return {
    take: (limit, part, isLate = false) => {
      const state = findOrCreate(limit)
      state.requestedAt = now()
      noteLimits(state, limit)
      const cold = now() - state.coldStatedAt <= STATED_LIMIT_MS ? state.cold : null
      const perSecond = Math.min(state.limit.perSecond ?? Infinity, cold?.perSecond ?? Infinity)
      state.rate = Math.max(MINIMUM_PER_SECOND, perSecond * part)
      const capacity = MINIMUM_BURST + Math.min(state.rate * BURST_SECONDS, (cold?.burst ?? Infinity) * part)
      state.bucket.setRate(state.rate, capacity)
      const rank = cold === null ? 0 : limit.rank ?? 0
      if (isLate || mustYield(state, rank)) return state.bucket.tryTake(Math.max(1, LATE_FILL_FRACTION * capacity)) ? { isGranted: true } : { isGranted: false, waitMs: LATE_WAIT_MS }
      if (state.bucket.tryTake()) return { isGranted: true }
      if (cold !== null) state.yieldUntil.set(rank, now() + YIELD_MS)
      return { isGranted: false, waitMs: assignWaitMs(state) }
    }
  }
}
