/** Actions at a time that let what had arrived by then be read first. */
import * as clock from '@switchridge/clock'

/**
 * Schedules an action that something which arrives may cancel. Node.js runs timers before it reads sockets, so that it would come too early in a process that stood still.
 *
 * @param at - Schedules actions.
 * @param time - Time of the action on the clock of `at`, in milliseconds.
 * @param action - The action.
 * @returns A function that cancels it.
 */
export function scheduleAfterReads (at: clock.ScheduleAt, time: number, action: () => void): () => void {
  let cancel = at(time, () => { cancel = clock.runAfterReads(action) })
  return () => { cancel() }
}
