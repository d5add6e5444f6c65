/** Has an agent's engine unload an old version before calls may no longer begin on it: a call that was sent in time may be in transit over a slow link for longer than any margin of its sender. */
import * as types from '@switchridge/types'
import * as findSuccessor from './findSuccessor.js'
import type * as orderVersion from './orderVersion.js'
import type * as staging from '../types/index.js'

/** Options of {@link createOldVersionUnloader}. */
export interface UnloaderOptions extends Pick<orderVersion.OrderOptions, 'readEngine' | 'onEvent' | 'now'> {
  readonly engine: Pick<staging.StagedEngine, 'unload'>
  readonly model: string
  /** Versions that operators have named for the model, in ascending order. */
  readonly named: () => readonly staging.NamedVersion[]
  /** Whether a complete newer version is about to be ordered, which replaces the old one as well. */
  readonly isChangeDue: () => boolean
}

/** Unloads the old versions of one engine. */
export interface OldVersionUnloader {
  /** Sets the timer for the deadline of the version that the engine holds, 0 for none; call it regularly, and when a version is named. */
  readonly schedule: (held: number) => void
  /** Resolves when the engine has answered an attempt in progress, or takes too long to. */
  readonly finishAttempt: () => Promise<void>
  readonly stop: () => void
}

/** Engines are ordered to unload from this lead on; by then gateways have withdrawn calls that have not begun. */
export const UNLOAD_LEAD_MS = 600
/** With less than this time left the order is given although calls are queued at the engine, or a change is due. */
const LAST_UNLOAD_LEAD_MS = 400
/** Pause before the next attempt; after the deadline it doubles with each attempt, up to the maximum. */
const RETRY_MS = 100
const MAXIMUM_RETRY_MS = 3200
/** An engine that takes longer to answer is asked again, so that several attempts fit before the deadline. */
const ANSWER_TIMEOUT_MS = 150

/**
 * Creates the unloader of one engine.
 *
 * @param options - Engine, named versions and clock.
 * @returns The unloader; nothing is scheduled yet.
 */
export function createOldVersionUnloader (options: UnloaderOptions): OldVersionUnloader {
  let timer: NodeJS.Timeout | undefined
  let isStopped = false
  let isAttempting = false
  let lastAttempt: Promise<void> = Promise.resolve()
  /** Monotonic time in milliseconds before which no attempt is made. */
  let retryAt = -Infinity
  /** Pause after the next attempt. */
  let retryMs = RETRY_MS
  /** Version that the engine keeps although it answers that the order is done, 0 for none. */
  let keptVersion = 0

  function schedule (held: number): void {
    clearTimeout(timer)
    if (isStopped || isAttempting || held === 0 || held === keptVersion) return
    const successor = findSuccessor.findSuccessor(options.named(), held)
    if (successor === undefined) return
    const dueAt = Math.max(successor.deadlineAt - UNLOAD_LEAD_MS, retryAt)
    timer = setTimeout(() => { lastAttempt = attempt(held) }, Math.max(0, dueAt - options.now()))
  }

  async function attempt (lastHeld: number): Promise<void> {
    isAttempting = true
    let held = lastHeld
    try {
      const state = await waitForAnswer(options.readEngine(), null)
      held = state?.held ?? lastHeld
      if (state !== null) await unloadIfDue(state)
    } finally {
      isAttempting = false
      retryAt = options.now() + retryMs
      retryMs = isPastDeadline(held) ? Math.min(MAXIMUM_RETRY_MS, retryMs * 2) : RETRY_MS
      schedule(held)
    }
  }

  async function unloadIfDue ({ held, running, waiting, isBusy, sequence }: staging.EngineState): Promise<void> {
    const successor = findSuccessor.findSuccessor(options.named(), held)
    if (isStopped || held === 0 || successor === undefined) return
    const leftMs = successor.deadlineAt - options.now()
    const mayWait = leftMs > LAST_UNLOAD_LEAD_MS && (waiting > 0 || options.isChangeDue())
    // An engine begins no calls while it carries out an order.
    if (leftMs > UNLOAD_LEAD_MS || isBusy || mayWait) return
    const outcome = await waitForAnswer(options.engine.unload({ model: options.model, version: held }, sequence), 'unknown')
    if (outcome === 'done') keptVersion = held
    options.onEvent('unload-ordered', { version: held, successor: successor.id.version, outcome, running, waiting, leftMs: Math.round(leftMs) })
  }

  function isPastDeadline (held: number): boolean {
    const successor = findSuccessor.findSuccessor(options.named(), held)
    return successor !== undefined && successor.deadlineAt <= options.now()
  }

  return {
    schedule,
    finishAttempt: async () => { await lastAttempt },
    stop: () => {
      isStopped = true
      clearTimeout(timer)
    }
  }
}

/** Resolves to the answer, or to another value if it takes too long. */
async function waitForAnswer<Answer> (answer: Promise<Answer>, otherwise: Answer): Promise<Answer> {
  return await Promise.race([answer, types.delay(ANSWER_TIMEOUT_MS).then(() => otherwise)])
}
