/** Orders the engine beside an agent to change its version, so that calls end or go on elsewhere. */
import * as types from '@switchridge/types'
import type * as staging from '../types/index.js'

/** What orders need of their surroundings. */
export interface OrderOptions {
  /** Fresh state of the engine, or null when it does not answer. */
  readonly readEngine: () => Promise<staging.EngineState | null>
  readonly engine: staging.StagedEngine
  /** Told when the engine shall get no new work, because it is about to change its version. */
  readonly onPause: (isPaused: boolean) => void
  readonly onEvent: (event: string, fields: Readonly<Record<string, string | number | boolean>>) => void
  readonly now: () => number
}

/** Orders of one engine; its stage must hold the version, verified. */
export interface VersionOrders {
  readonly orderEmpty: (ready: staging.NamedVersion, state: staging.EngineState) => Promise<void>
  readonly order: (ready: staging.NamedVersion, method: staging.SwitchMethod) => Promise<void>
}

const POLL_MS = 50
/** Gateways hear of the pause within this time. */
const PAUSE_NOTICE_MS = 80
/** The order is given at the latest so long after the pause began. */
const PAUSE_MAXIMUM_MS = 500
const AFTER_ORDER_MS = 100
/** Calls that end within this time after the pause began are not broken off. */
const SHORT_CALLS_MS = 250

/**
 * Creates the orders of one engine.
 *
 * @param options - Engine and clock, and whether the agent was stopped.
 * @returns The orders; each resolves when the engine runs the version, or no longer works on it.
 */
export function createVersionOrders (options: OrderOptions & { readonly isStopped: () => boolean }): VersionOrders {
  /** Nobody calls an empty engine, so nothing is waited for: after a return of all, nobody is served until then. */
  async function orderEmpty (ready: staging.NamedVersion, state: staging.EngineState): Promise<void> {
    await startVersion(ready, state, 'finish')
    options.onPause(false)
  }

  async function order (ready: staging.NamedVersion, method: staging.SwitchMethod): Promise<void> {
    options.onPause(true)
    const state = await waitUntilNoneWaits()
    if (method === 'break-off') await waitForShortCalls()
    if (state !== null && !state.isBusy) await startVersion(ready, state, method)
    options.onPause(false)
  }

  async function startVersion ({ id, heardAt }: staging.NamedVersion, state: staging.EngineState, method: staging.SwitchMethod): Promise<void> {
    const outcome = await options.engine.start(id, state.sequence, method)
    options.onEvent('version-ordered', { version: id.version, held: state.held, method, outcome, running: state.running, afterMs: Math.round(options.now() - heardAt) })
    await types.delay(AFTER_ORDER_MS)
    const switchedMs = await waitForSwitch(id.version)
    options.onEvent('version-switched', { version: id.version, tookMs: switchedMs, afterMs: Math.round(options.now() - heardAt) })
  }

  /**
   * Lets calls that were sent before gateways heard of the pause begin: one that has not begun when the order is
   * given waits for all that runs, and would begin on the old version if the machine stood still meanwhile.
   */
  async function waitUntilNoneWaits (): Promise<staging.EngineState | null> {
    await types.delay(PAUSE_NOTICE_MS)
    return await pollEngine((state) => state.waiting === 0, PAUSE_MAXIMUM_MS - PAUSE_NOTICE_MS)
  }

  /** Most calls end within moments; only the long ones are broken off. */
  async function waitForShortCalls (): Promise<void> {
    await pollEngine((state) => state.running === 0, SHORT_CALLS_MS)
  }

  /** Waits until the engine tells the new version, or is no longer busy with it. */
  async function waitForSwitch (version: number): Promise<number> {
    const startedAt = options.now()
    await pollEngine((state) => options.isStopped() || state.held >= version || !state.isBusy, Infinity)
    return Math.round(options.now() - startedAt)
  }

  /** Reads the engine's state until it is the one waited for, the time is over or the engine does not answer. */
  async function pollEngine (isDone: (state: staging.EngineState) => boolean, maximumMs: number): Promise<staging.EngineState | null> {
    const endsAt = options.now() + maximumMs
    for (;;) {
      const state = await options.readEngine()
      if (state === null || isDone(state) || options.now() >= endsAt) return state
      await types.delay(POLL_MS)
    }
  }

  return { orderEmpty, order }
}
