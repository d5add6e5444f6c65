/** What the request path and its simulation need to have calls wait. */
import type * as computeForecast from '../computeForecast/index.js'
import type * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as createWaitingQueue from '../createWaitingQueue/index.js'
import type * as gateway from '../types/index.js'
import * as callState from './callState.js'

/** Time between the reservation of a slot and the first event of a call that begins at once, and the error of predictions. */
const BEGIN_MARGIN_MS = 150

/** Properties of a call that its place in the queue depends on. */
export interface QueuedCallDetails {
  readonly rank: number
  readonly bytes: number
  /** Monotonic time in milliseconds at which the call's target is over, which counts from the caller's first try. */
  readonly targetAt: number
  readonly targetMs: number
  readonly deadlineAt: number
  /** Milliseconds for which the call would occupy a slot. */
  readonly holdMs: number
}

/** Computes the times until which a call may begin. */
export function toQueuedCall ({ rank, bytes, targetAt, targetMs, deadlineAt, holdMs }: QueuedCallDetails): createWaitingQueue.QueuedCall {
  return { rank, bytes, inTimeUntil: targetAt - targetMs + callState.computeLatestSendMs(targetMs), beginBy: deadlineAt - holdMs - BEGIN_MARGIN_MS }
}

/**
 * Lists the engines that serve a model, and those whose return is estimated. An engine that has reported neither is left out: nothing is known of it.
 *
 * @param backEnds - Engines that may serve.
 * @param tracker - Their reported state.
 * @param model - The model.
 * @param now - Monotonic time in milliseconds.
 * @returns The engines.
 */
export function listForecastEngines (backEnds: readonly gateway.BackEnd[], tracker: Pick<createBackEndTracker.BackEndTracker, 'read'>, model: string, now: number): computeForecast.ForecastEngine[] {
  return backEnds.flatMap((backEnd) => {
    const { report, readyAt, isGone, sentSinceReport } = tracker.read(backEnd.id)
    if (readyAt !== null) return [{ slots: backEnd.slots, freeSlots: backEnd.slots, readyInMs: Math.max(1, readyAt - now) }]
    if (isGone || report === null || report.isLeaving || !report.models.has(model)) return []
    return [{ slots: backEnd.slots, freeSlots: Math.max(0, backEnd.slots - report.running - report.waiting - sentSinceReport), readyInMs: 0 }]
  })
}
