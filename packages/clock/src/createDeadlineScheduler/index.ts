/** Timers on the steady clock; those that expired while the machine was suspended fire as soon as the suspension is detected. */
import type * as createSteadyClock from '../createSteadyClock/index.js'

/** Runs an action at a time of the steady clock, in milliseconds; the returned function cancels it. */
export type ScheduleAt = (time: number, action: () => void) => () => void

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
    entry.timer = setTimeout(() => {
      pending.delete(entry)
      entry.action()
    }, Math.max(0, entry.time - clock.now()))
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
