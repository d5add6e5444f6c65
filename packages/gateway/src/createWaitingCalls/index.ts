/** Holds calls that no engine can take now but that are predicted to be served before their deadlines, and hands them out as engines return. */
import type * as clock from '@switchridge/clock'
import * as types from '@switchridge/types'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import * as computeForecast from '../computeForecast/index.js'
import type * as createSlotReservations from '../createSlotReservations/index.js'
import * as createWaitingQueue from '../createWaitingQueue/index.js'
import type * as gateway from '../types/index.js'

/** A call that may wait. */
export interface WaitingCall extends createWaitingQueue.QueuedCall {
  readonly service: types.ServiceName
  readonly promptTokens: number
  /** Monotonic time in milliseconds. */
  readonly deadlineAt: number
  /** Chooses an engine other than the given ones; null if there is none now. */
  readonly choose: (others: ReadonlySet<types.NodeId>) => chooseBackEnd.Choice | null
  /** Whether every listed engine is excluded for it. */
  readonly isExcluded: () => boolean
  /** Called once when the wait ends, unless the call is removed. */
  readonly onEnd: (end: WaitEnd) => void
}

/** How a wait ended: with a slot at an engine, to which the call must be sent at once, or without one. */
export type WaitEnd =
  | { readonly kind: 'reserved', readonly choice: chooseBackEnd.Choice }
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMs: number }
  /** Every engine is excluded for it now. */
  | { readonly kind: 'excluded' }

/** Whether a call is held. `retryAfterMs`: when capacity for it is expected; null if that is unknown. */
export type WaitDecision =
  /** `place`: its place in the queue, from 1. */
  | { readonly isHeld: true, readonly place: number }
  | { readonly isHeld: false, readonly reason: string, readonly retryAfterMs: number | null }

/** Options of {@link createWaitingCalls}. */
export interface WaitingOptions {
  readonly limits: createWaitingQueue.WaitingLimits
  /** Lists the engines of a service that serve and those whose return is estimated. */
  readonly readEngines: (service: types.ServiceName) => readonly computeForecast.ForecastEngine[]
  /** Milliseconds for which a usual call of a service occupies a slot; null if unknown. */
  readonly holdMsOf: (service: types.ServiceName) => number | null
  /** Number of live gateways; null while they are not known yet. */
  readonly countGateways: () => number | null
  readonly reserve: (backEnd: gateway.BackEnd, request: createSlotReservations.SlotRequest, onAnswer: (isReserved: boolean) => void) => void
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Schedules an action at a time of the monotonic clock. */
  readonly at: (time: number, action: () => void) => ReturnType<clock.ScheduleAt> | void
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
}

/** The waiting calls of a gateway. */
export interface WaitingCalls {
  /** Records a caller's request; calls that can be in time are handed out before later ones, so their number limits what can wait. */
  readonly noteCall: (service: types.ServiceName, rank: number) => void
  /** Records that no engine of a service may serve. */
  readonly noteNoneServing: (service: types.ServiceName) => void
  /** Whether no engine of a service served until a moment ago, or calls wait for one. */
  readonly isRecovering: (service: types.ServiceName) => boolean
  /** Whether calls wait that are handed out before the given one. */
  readonly hasEarlier: (service: types.ServiceName, call: createWaitingQueue.QueuedCall) => boolean
  readonly add: (call: WaitingCall) => WaitDecision
  /** Removes a call whose caller has left or that has to end; `reason` is only counted. */
  readonly remove: (call: WaitingCall, reason: string) => void
  /** Hands out calls after a report of an engine has arrived. */
  readonly wake: () => void
  /** Ends the waits of calls for which every engine is excluded; to be called after back ends or their exclusions have changed. */
  readonly endExcluded: () => void
  /** Refuses all waiting calls, and holds no more, because the gateway ends. */
  readonly end: (reason: string, retryAfterMs: number) => void
  readonly size: () => number
}

interface ServiceState {
  /** Calls per millisecond by rank, and when each was last updated. */
  readonly rates: Map<number, { perMs: number, at: number }>
  /** Engines that had no slot, until the given monotonic time. */
  readonly fullUntil: Map<types.NodeId, number>
  readonly requested: Set<WaitingCall>
  /** The calls in order, and the monotonic time in milliseconds at which they were sorted; they are sorted again because calls become late. */
  ordered: readonly WaitingCall[]
  orderedAt: number
  noneServingAt: number
  /** Monotonic time in milliseconds before which no more slots are requested, after several were refused. */
  pausedUntil: number
  refusals: number
}

/** A service counts as recovering for this long after no engine served; engines return one after the other, and the queue drains. */
const RECOVERY_MS = 5000
/** Interval at which waiting calls are checked and slots requested again. */
const CHECK_INTERVAL_MS = 50
/** An agent that has refused a slot is not asked again for this long; it reads its engine's state as often. */
const FULL_MS = 200
/** For so long the order of the waiting calls is used again. */
const ORDER_VALID_MS = 20
/** Time that finding a free slot may take while most engines are full. */
const HAND_OUT_MS = 300
/** Slots requested at the same time for one service. */
const MAXIMUM_REQUESTED = 8
/** After so many refusals in a row no slots are requested until the next check: this bounds the datagrams of a gateway while engines are full. */
const MAXIMUM_REFUSALS = 5
/** Time over which the rate of calls is averaged. */
const RATE_WINDOW_MS = 2000
/**
 * The forecast capacity must exceed what is needed by this multiple of the random deviation of arrivals. With less margin more calls are held, but some of
 * them are then refused, and calls that arrive later are less often in time.
 */
const DEVIATIONS = 2
/** Callers that are refused return over this time after capacity for them is expected, or over this fraction of the wait if that is longer. */
const RETRY_SPREAD_MS = 500
const RETRY_SPREAD_FRACTION = 0.5
/** The retry time is at most this fraction of the time left until the deadline; callers don't retry later than that. */
const RETRY_REMAINING_FRACTION = 0.3

/**
 * Creates the waiting calls of a gateway.
 *
 * @param options - Engines, reservations, bounds and clock.
 * @returns The waiting calls; there are none yet.
 */
export function createWaitingCalls (options: WaitingOptions): WaitingCalls {
  const { now } = options
  const queue = createWaitingQueue.createWaitingQueue<WaitingCall>(options.limits, now)
  const states = new Map<types.ServiceName, ServiceState>()
  let isCheckScheduled = false
  let isEnding = false

  function stateOf (service: types.ServiceName): ServiceState {
    return types.getOrCreate(states, service, () => ({ rates: new Map(), fullUntil: new Map(), requested: new Set(), ordered: [], orderedAt: -Infinity, noneServingAt: -Infinity, pausedUntil: -Infinity, refusals: 0 }))
  }

  /** The waiting calls of a service in the order in which they are handed out. */
  function listOf (service: types.ServiceName): readonly WaitingCall[] {
    if (queue.size() === 0) return []
    const state = stateOf(service)
    if (now() - state.orderedAt > ORDER_VALID_MS) {
      state.ordered = queue.list().filter((call) => call.service === service)
      state.orderedAt = now()
    }
    return state.ordered
  }

  function take (call: WaitingCall): boolean {
    const state = stateOf(call.service)
    state.ordered = state.ordered.filter((each) => each !== call)
    return queue.remove(call)
  }

  function computeServiceForecast (service: types.ServiceName): computeForecast.Forecast | null {
    const holdMs = options.holdMsOf(service)
    return holdMs === null ? null : computeForecast.computeForecast(options.readEngines(service), holdMs)
  }

  function noteCall (service: types.ServiceName, rank: number): void {
    const rate = types.getOrCreate(stateOf(service).rates, rank, () => ({ perMs: 0, at: now() }))
    rate.perMs = rate.perMs * Math.exp((rate.at - now()) / RATE_WINDOW_MS) + 1 / RATE_WINDOW_MS
    rate.at = now()
  }

  /** Calls per millisecond of this gateway with a rank up to the given one. */
  function sumRates (service: types.ServiceName, rank: number): number {
    let perMs = 0
    for (const [other, rate] of stateOf(service).rates) if (other <= rank) perMs += rate.perMs * Math.exp((rate.at - now()) / RATE_WINDOW_MS)
    return perMs
  }

  /**
   * Whether a call is predicted to be served behind the given ones. Arriving calls that can still be in time are handed out before it, so it must be
   * possible to serve it after its target: with calls that were held only because they might be in time, 392 instead of 1062 were in time in the simulated gap
   * (34 gateways, 375 calls a second).
   */
  function isServable (call: WaitingCall, others: readonly WaitingCall[], forecast: computeForecast.Forecast, gateways: number): boolean {
    const returnAt = Math.max(call.inTimeUntil + 1, now() + forecast.firstInMs)
    return isServableAt(call, others.filter((other) => createWaitingQueue.compareCalls(other, call, returnAt) < 0).length + 1, forecast, gateways)
  }

  function isServableAt (call: WaitingCall, place: number, forecast: computeForecast.Forecast, gateways: number): boolean {
    const withinMs = call.beginBy - now() - HAND_OUT_MS
    return withinMs >= 0 && isCovered(withinMs, place, sumRates(call.service, call.rank) * countContestedMs(call, withinMs, forecast), forecast, gateways)
  }

  /** Whether this gateway's share of the forecast capacity suffices for a number of calls and for others that are expected to arrive. */
  function isCovered (withinMs: number, calls: number, expected: number, forecast: computeForecast.Forecast, gateways: number): boolean {
    return forecast.countStarts(withinMs) / gateways >= calls + expected + DEVIATIONS * Math.sqrt(expected / gateways)
  }

  /**
   * Milliseconds of a wait in which arriving calls are handed out before it: those that arrive earlier than their in-time window before the first engine
   * returns are late themselves by then, and calls of the same rank are then queued behind this one.
   */
  function countContestedMs (call: WaitingCall, withinMs: number, forecast: computeForecast.Forecast): number {
    return Math.max(0, withinMs - Math.max(0, forecast.firstInMs - Math.max(0, call.inTimeUntil - now())))
  }

  function computeRetryAfterMs (call: WaitingCall, forecast: computeForecast.Forecast | null, gateways: number): number | null {
    const waitMs = forecast?.computeWaitMs((listOf(call.service).length + 1) * gateways) ?? Infinity
    if (waitMs === Infinity) return null
    const retryMs = waitMs + Math.max(RETRY_SPREAD_MS, waitMs * RETRY_SPREAD_FRACTION) * options.random()
    return Math.round(Math.min(retryMs, (call.deadlineAt - now()) * RETRY_REMAINING_FRACTION))
  }

  function add (call: WaitingCall): WaitDecision {
    const gateways = options.countGateways()
    if (isEnding) return { isHeld: false, reason: 'this gateway ends', retryAfterMs: null }
    const forecast = computeServiceForecast(call.service)
    // While calls wait, the service counts as recovering, so under overload the queue would never end if further calls were held.
    if (now() - stateOf(call.service).noneServingAt > RECOVERY_MS) return { isHeld: false, reason: 'engines serve', retryAfterMs: null }
    if (gateways === null || forecast === null) return { isHeld: false, reason: 'no forecast', retryAfterMs: null }
    const others = listOf(call.service)
    const isAccepted = isServable(call, others, forecast, gateways) && !wouldDelay(call, others, forecast, gateways)
    if (!isAccepted || !queue.add(call)) return { isHeld: false, reason: isAccepted ? 'queue full' : 'not served in time', retryAfterMs: computeRetryAfterMs(call, forecast, gateways) }
    stateOf(call.service).orderedAt = -Infinity
    const place = listOf(call.service).indexOf(call) + 1
    scheduleCheck()
    handOut(call.service)
    return { isHeld: true, place }
  }

  /** Whether a held call of the same rank would no longer be predicted to be served. Calls of lower rank don't keep one of a higher rank from being held. */
  function wouldDelay (call: WaitingCall, others: readonly WaitingCall[], forecast: computeForecast.Forecast, gateways: number): boolean {
    const byLatestBegin = [...others].sort((left, right) => left.rank - right.rank || left.beginBy - right.beginBy)
    return byLatestBegin.some((other, at) => other.rank === call.rank && other.beginBy >= call.beginBy && isServableAt(other, at + 1, forecast, gateways) && !isServableAt(other, at + 2, forecast, gateways))
  }

  function finish (call: WaitingCall, end: WaitEnd, reason: string): void {
    if (!take(call)) return
    options.count('calls_unqueued', { reason })
    call.onEnd(end)
  }

  function handOut (service: types.ServiceName): void {
    const state = stateOf(service)
    if (now() < state.pausedUntil) return
    for (const [id, until] of state.fullUntil) if (until <= now()) state.fullUntil.delete(id)
    const full = new Set(state.fullUntil.keys())
    for (const call of listOf(service)) {
      if (state.requested.size >= MAXIMUM_REQUESTED) return
      if (state.requested.has(call) || now() >= call.beginBy) continue
      const choice = call.choose(full)
      if (choice === null) return
      request(call, choice, state)
    }
  }

  function request (call: WaitingCall, choice: chooseBackEnd.Choice, state: ServiceState): void {
    state.requested.add(call)
    // The agent grants a slot if its engine would begin the call at once; a late call has until its deadline.
    const until = now() <= call.inTimeUntil ? call.inTimeUntil : call.deadlineAt
    options.reserve(choice.backEnd, { promptTokens: call.promptTokens, withinMs: Math.max(0, until - now()) }, (isReserved) => {
      state.requested.delete(call)
      if (isReserved) {
        state.refusals = 0
        finish(call, { kind: 'reserved', choice }, 'served')
      } else {
        state.fullUntil.set(choice.backEnd.id, now() + FULL_MS)
        state.refusals += 1
        if (state.refusals >= MAXIMUM_REFUSALS) {
          state.refusals = 0
          state.pausedUntil = now() + CHECK_INTERVAL_MS
        }
      }
      handOut(call.service)
    })
  }

  /** Refuses calls that can no longer be served even if all engines return as early as the estimates permit. */
  function refuseHopeless (service: types.ServiceName): void {
    const calls = listOf(service)
    const forecast = computeServiceForecast(service)
    const gateways = options.countGateways() ?? 1
    calls.forEach((call, at) => {
      const isLost = now() >= call.beginBy
      const isServed = forecast !== null && forecast.countStartsAtBest(call.beginBy - now()) >= at + 1
      if (state(call) || (!isLost && isServed)) return
      const reason = forecast === null ? 'no forecast' : isLost ? 'no slot before the deadline' : 'engines return too late'
      finish(call, { kind: 'refused', reason: `waited: ${reason}`, retryAfterMs: computeRetryAfterMs(call, forecast, gateways) ?? (call.deadlineAt - now()) * RETRY_REMAINING_FRACTION }, forecast === null ? 'no-forecast' : isLost ? 'late' : 'forecast')
    })

    /** A call for which a slot is being requested is decided by the answer. */
    function state (call: WaitingCall): boolean {
      return stateOf(service).requested.has(call)
    }
  }

  function scheduleCheck (): void {
    if (isCheckScheduled) return
    isCheckScheduled = true
    options.at(now() + CHECK_INTERVAL_MS, () => {
      isCheckScheduled = false
      for (const service of states.keys()) {
        refuseHopeless(service)
        handOut(service)
      }
      if (queue.size() > 0) scheduleCheck()
    })
  }

  return {
    noteCall,
    noteNoneServing: (service) => { stateOf(service).noneServingAt = now() },
    isRecovering: (service) => {
      const state = states.get(service)
      return state !== undefined && (now() - state.noneServingAt <= RECOVERY_MS || listOf(service).length > 0)
    },
    hasEarlier: (service, call) => listOf(service).some((other) => createWaitingQueue.compareCalls(other, call, now()) < 0),
    add,
    remove: (call, reason) => { if (take(call)) options.count('calls_unqueued', { reason }) },
    wake: () => {
      if (queue.size() === 0) return
      for (const service of states.keys()) handOut(service)
    },
    endExcluded: () => {
      for (const call of queue.list()) if (call.isExcluded()) finish(call, { kind: 'excluded' }, 'excluded')
    },
    end: (reason, retryAfterMs) => {
      isEnding = true
      for (const call of queue.list()) finish(call, { kind: 'refused', reason, retryAfterMs }, 'ended')
    },
    size: queue.size
  }
}
