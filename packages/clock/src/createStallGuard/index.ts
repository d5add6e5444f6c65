/** Defers actions after a stall of this process, in which it was paused or its event loop busy, until what had arrived meanwhile was read. */
import * as runAfterReads from '../runAfterReads/index.js'

/** Runs actions that rely on what has been read so far. */
export interface StallGuard {
  /** Runs an action at once, or after the reads if the event loop has just stalled. Actions run in order. */
  readonly run: (action: () => void) => void
  readonly stop: () => void
}

const CHECK_INTERVAL_MS = 100
/** Longer than the delays of the check timer in a process that is merely busy. */
const STALL_MINIMUM_MS = 300

/**
 * Creates the guard. It detects a stall by its own timer, or when an action is run before that timer.
 *
 * @returns The guard; its timer does not keep the process running.
 */
export function createStallGuard (): StallGuard {
  let checkedAt = performance.now()
  let deferred: Array<() => void> | null = null

  function check (): void {
    const now = performance.now()
    if (now - checkedAt >= STALL_MINIMUM_MS && deferred === null) {
      deferred = []
      runAfterReads.runAfterReads(runDeferred)
    }
    checkedAt = now
  }

  function runDeferred (): void {
    const actions = deferred ?? []
    deferred = null
    for (const action of actions) action()
  }

  const timer = setInterval(check, CHECK_INTERVAL_MS)
  timer.unref()
  return {
    run: (action) => {
      check()
      if (deferred === null) action()
      else deferred.push(action)
    },
    stop: () => { clearInterval(timer) }
  }
}
