/** Orders an agent's engine to change its version, so that running calls complete or continue elsewhere. */
import * as types from '@switchridge/types'
import type * as staging from '../types/index.js'

/** Options of {@link createVersionOrders}. */
export interface OrderOptions {
  /** Reads the current state of the engine; null when it does not answer. */
  readonly readEngine: () => Promise<staging.EngineState | null>
  readonly engine: staging.StagedEngine
  /** Called with true when the engine is about to change its version and must get no new calls, and with false afterwards. */
  readonly onPause: (isPaused: boolean) => void
  readonly onEvent: (event: string, fields: Readonly<Record<string, string | number | boolean>>) => void
  /** Records a duration in milliseconds in the histogram of that name. */
  readonly observe: (name: string, milliseconds: number) => void
  /** Milliseconds for which this process was paused since a time of the clock. */
  readonly pausedMsSince: (time: number) => number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Age of the verification of a stage. */
export interface StageAge {
  /** Milliseconds since the verification began, since it ended, and since its oldest read was sent. */
  readonly beganMs: number
  readonly endedMs: number
  readonly oldestReadMs: number
  /** Milliseconds for which this process was paused since it began. */
  readonly pausedMs: number
  /** Pieces that it had to write again. */
  readonly repaired: number
}

/** Orders to one engine, whose stage must hold the verified version. */
export interface VersionOrders {
  /** Orders an engine that holds no version, without waiting. */
  readonly orderFirstVersion: (ready: staging.NamedVersion, state: staging.EngineState, readStageAge: () => StageAge) => Promise<void>
  /** Pauses new calls, waits until queued ones have begun, and orders the change. */
  readonly order: (ready: staging.NamedVersion, method: staging.SwitchMethod, readStageAge: () => StageAge) => Promise<void>
}

const POLL_MS = 50
/** Time within which gateways are informed of the pause. */
const PAUSE_PROPAGATION_MS = 80
/** Longest time from the beginning of the pause to the order. */
const PAUSE_MAXIMUM_MS = 500
/** Time after an order before the engine is polled, so that it reports itself busy by then. */
const ORDER_SETTLE_MS = 100
/** Calls that end within this time after the engine's queue is empty are not aborted. */
const SHORT_CALLS_MS = 250

/**
 * Creates the functions that order one engine to change its version.
 *
 * @param options - Engine, clock, and whether the agent was stopped.
 * @returns The functions; each resolves when the engine runs the version, or no longer works on the change.
 */
export function createVersionOrders (options: OrderOptions & { readonly isStopped: () => boolean }): VersionOrders {
  /** Does not wait, because an engine without a version gets no calls, and after a restart of the whole fleet nobody is served until it has one. */
  async function orderFirstVersion (ready: staging.NamedVersion, state: staging.EngineState, readStageAge: () => StageAge): Promise<void> {
    await startVersion(ready, state, 'finish', readStageAge)
    options.onPause(false)
  }

  async function order (ready: staging.NamedVersion, method: staging.SwitchMethod, readStageAge: () => StageAge): Promise<void> {
    options.onPause(true)
    const state = await waitForEmptyQueue()
    if (method === 'break-off') await waitForShortCalls()
    if (state !== null && !state.isBusy && !state.isLeaving) await startVersion(ready, state, method, readStageAge)
    options.onPause(false)
  }

  async function startVersion ({ id, namedAt }: staging.NamedVersion, state: staging.EngineState, method: staging.SwitchMethod, readStageAge: () => StageAge): Promise<void> {
    const age = readStageAge()
    const sentAt = options.now()
    const outcome = await options.engine.start(id, state.sequence, method)
    const answeredMs = options.now() - sentAt
    options.observe('stage_age_at_order', age.oldestReadMs)
    options.observe('order_answer', answeredMs)
    options.onEvent('version-ordered', {
      version: id.version,
      held: state.held,
      method,
      outcome,
      running: state.running,
      afterMs: Math.round(options.now() - namedAt),
      checkBeganMs: Math.round(age.beganMs),
      checkEndedMs: Math.round(age.endedMs),
      oldestReadMs: Math.round(age.oldestReadMs),
      repaired: age.repaired,
      pausedMs: Math.round(age.pausedMs),
      answeredMs: Math.round(answeredMs)
    })
    await types.delay(ORDER_SETTLE_MS)
    const switchedMs = await waitForSwitch(id.version)
    options.onEvent('version-switched', { version: id.version, tookMs: switchedMs, afterMs: Math.round(options.now() - namedAt) })
  }

  /**
   * Waits until calls that were sent before gateways knew of the pause have begun: a call that is still queued when the order is
   * given waits for all running ones, and would begin on the old version if the machine was suspended meanwhile.
   */
  async function waitForEmptyQueue (): Promise<staging.EngineState | null> {
    await types.delay(PAUSE_PROPAGATION_MS)
    return await pollEngine((state) => state.waiting === 0, PAUSE_MAXIMUM_MS - PAUSE_PROPAGATION_MS)
  }

  /** Waits for calls that end soon, which are most of them, so that only long ones are aborted. */
  async function waitForShortCalls (): Promise<void> {
    await pollEngine((state) => state.running === 0, SHORT_CALLS_MS)
  }

  /** Waits until the engine reports the new version, or is no longer busy with the change; returns the time that took. */
  async function waitForSwitch (version: number): Promise<number> {
    const startedAt = options.now()
    await pollEngine((state) => options.isStopped() || state.held >= version || !state.isBusy, Infinity)
    return Math.round(options.now() - startedAt)
  }

  /** Polls the engine's state until the condition holds, the time is over or the engine does not answer. */
  async function pollEngine (isDone: (state: staging.EngineState) => boolean, maximumMs: number): Promise<staging.EngineState | null> {
    const endsAt = options.now() + maximumMs
    for (;;) {
      const state = await options.readEngine()
      if (state === null || isDone(state) || options.now() >= endsAt) return state
      await types.delay(POLL_MS)
    }
  }

  return { orderFirstVersion, order }
}
