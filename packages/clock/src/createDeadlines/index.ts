/** Actions at times of the steady clock: those that came due during a suspension are done when it has been found out. */
import type * as createSteadyClock from '../createSteadyClock/index.js'

/** Calls an action at a time in milliseconds; returns what cancels it. */
export type AtTime = (time: number, action: () => void) => () => void

interface Pending {
  readonly time: number
  readonly action: () => void
  timer: NodeJS.Timeout | undefined
}

/**
 * Creates the deadlines of a process. The runtime's timers stand still while the machine is suspended, so that a caller's deadline would be over and its timer still have seconds to go.
 *
 * @param clock - The clock.
 * @returns Registers an action.
 */
export function createDeadlines (clock: Pick<createSteadyClock.SteadyClock, 'now' | 'onSuspension'>): AtTime {
  const pending = new Set<Pending>()

  function arm (each: Pending): void {
    each.timer = setTimeout(() => {
      pending.delete(each)
      each.action()
    }, Math.max(0, each.time - clock.now()))
  }

  clock.onSuspension(() => {
    for (const each of pending) {
      clearTimeout(each.timer)
      arm(each)
    }
  })

  return (time, action) => {
    const each: Pending = { time, action, timer: undefined }
    pending.add(each)
    arm(each)
    return () => {
      pending.delete(each)
      clearTimeout(each.timer)
    }
  }
}
