/** The grace period of gateways and agents, at whose end the platform kills them. */
import * as clock from '@switchridge/clock'
import type * as settings from '@switchridge/settings'
import * as types from '@switchridge/types'

/** Part of the grace period that a process leaves unused, so that it has ended before the period is over. */
const GRACE_RESERVE_MS = 450

/**
 * Computes by when a process that begins to drain must have ended.
 *
 * @param limits - Limits in the settings.
 * @param now - Monotonic time in milliseconds.
 * @returns A monotonic time in milliseconds.
 */
export function computeGraceEnd (limits: settings.FleetSettings['limits'], now: number): number {
  return now + limits.grace_seconds * types.MILLISECONDS_IN_SECOND - GRACE_RESERVE_MS
}

/**
 * Waits for work, at most until a time. A process that stood still until then first reads what has arrived.
 *
 * @param work - The work.
 * @param remainingMs - Milliseconds until that time.
 * @returns Whether the work has ended.
 */
export async function waitAtMost (work: Promise<unknown>, remainingMs: number): Promise<boolean> {
  return await Promise.race([work.then(() => true), clock.waitAndRead(Math.max(0, remainingMs)).then(() => false)])
}
