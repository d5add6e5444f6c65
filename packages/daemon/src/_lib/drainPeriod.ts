/** The time in which entry nodes and backend daemons drain, at whose end they cut what is left. */
import type * as settings from '@switchridge/settings'
import * as types from '@switchridge/types'

/** Time at the end of a drain for sending the last answers; a drain takes no less, whatever the settings say. */
export const LAST_ANSWERS_MS = 500

/**
 * Computes the longest time for a drain.
 *
 * @param limits - Limits in the settings.
 * @returns Milliseconds.
 */
export function computeDrainMs (limits: settings.Settings['limits']): number {
  return Math.max(LAST_ANSWERS_MS, limits.drain_seconds * types.MILLISECONDS_IN_SECOND)
}
