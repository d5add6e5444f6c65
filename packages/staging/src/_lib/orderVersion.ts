/** Orders an agent's engine to change its version, so that running calls complete or continue elsewhere. */
import * as types from '@switchridge/types'
import type * as staging from '../types/index.js'
import * as loadVersion from './loadVersion.js'

/** Options of {@link createVersionOrders}. */
export interface OrderOptions extends Omit<loadVersion.LoaderOptions, 'isStopped'> {
  /** Called with true when the engine is about to change its version and must get no new calls, and with false afterwards. */
  readonly onPause: (isPaused: boolean) => void
}

/** Orders to one engine, whose stage must hold the version. */
export interface VersionOrders extends Pick<loadVersion.VersionLoader, 'noteState' | 'isTrusted'> {
  /** Orders an engine that holds no version, without waiting. */
  readonly orderFirstVersion: (ready: staging.NamedVersion, staged: loadVersion.StagedWeights, state: staging.EngineState) => Promise<void>
  /** Pauses new calls, waits until queued ones have begun, and orders the change. */
  readonly order: (ready: staging.NamedVersion, staged: loadVersion.StagedWeights, method: staging.SwitchMethod) => Promise<void>
}

const POLL_MS = 50
/** Time within which gateways are informed of the pause. */
const PAUSE_PROPAGATION_MS = 80
/** Longest time from the beginning of the pause to the order. */
const PAUSE_MAXIMUM_MS = 500
/** Calls that end within this time after the engine's queue is empty are not aborted. */
const SHORT_CALLS_MS = 250

/**
 * Creates the functions that order one engine to change its version.
 *
 * @param options - Engine, clock, and whether the agent was stopped.
 * @returns The functions; each resolves when the engine runs the version, or no longer works on the change.
 */
export function createVersionOrders (options: OrderOptions & { readonly isStopped: () => boolean }): VersionOrders {
  const loader = loadVersion.createVersionLoader(options)

  /** Does not wait, because an engine without a version gets no calls, and after a restart of the whole fleet nobody is served until it has one. */
  async function orderFirstVersion (ready: staging.NamedVersion, staged: loadVersion.StagedWeights, state: staging.EngineState): Promise<void> {
    await loader.load(ready, staged, state, 'finish')
    options.onPause(false)
  }

  async function order (ready: staging.NamedVersion, staged: loadVersion.StagedWeights, method: staging.SwitchMethod): Promise<void> {
    options.onPause(true)
    const state = await waitForEmptyQueue()
    if (method === 'break-off') await waitForShortCalls()
    if (state !== null && !state.isBusy && !state.isLeaving) await loader.load(ready, staged, state, method)
    options.onPause(false)
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

  /** Polls the engine's state until the condition holds, the time is over or the engine does not answer. */
  async function pollEngine (isDone: (state: staging.EngineState) => boolean, maximumMs: number): Promise<staging.EngineState | null> {
    const endsAt = options.now() + maximumMs
    for (;;) {
      const state = await options.readEngine()
      if (state === null || isDone(state) || options.now() >= endsAt) return state
      await types.delay(POLL_MS)
    }
  }

  return { orderFirstVersion, order, noteState: loader.noteState, isTrusted: loader.isTrusted }
}
