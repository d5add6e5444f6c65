/** Timers on the steady clock; those that expired while the machine was suspended fire as soon as the suspension is detected. */
import type * as createSteadyClock from '../createSteadyClock/index.js'

/** Runs an action at a time of the steady clock, in milliseconds; the returned function cancels it. */
export type ScheduleAt = (time: number, action: () => void) => () => void

/** Longest time in milliseconds that a timer of Node.js can wait; a longer one would run out at once. */
export const LONGEST_TIMER_MS = 2 ** 31 - 1

interface PendingAction {
  readonly time: number
  readonly action: () => void
  timer: NodeJS.Timeout | undefined
}

/**
 * Creates a scheduler for actions. The runtime's timers stop while the machine is suspended, so a caller's deadline could have passed while its timer
 * still had seconds to run; therefore pending timers are set again after each suspension.
 *
 * @param clock - The steady clock.
 * @returns A function that schedules an action.
 */
export function createDeadlineScheduler (clock: Pick<createSteadyClock.SteadyClock, 'now' | 'onSuspension'>): ScheduleAt {
  const pending = new Set<PendingAction>()

  function setTimer (entry: PendingAction): void {
    const waitMs = Math.max(0, entry.time - clock.now())
    entry.timer = setTimeout(() => {
      if (waitMs > LONGEST_TIMER_MS) {
        setTimer(entry)
        return
      }
      pending.delete(entry)
      entry.action()
    }, Math.min(waitMs, LONGEST_TIMER_MS))
  }

  clock.onSuspension(() => {
    for (const entry of pending) {
      clearTimeout(entry.timer)
      setTimer(entry)
    }
  })

  return (time, action) => {
    const entry: PendingAction = { time, action, timer: undefined }
    pending.add(entry)
    setTimer(entry)
    return () => {
      pending.delete(entry)
      clearTimeout(entry.timer)
    }
  }
}
