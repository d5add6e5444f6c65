/** What the request path and its simulation need to have calls wait. */
import type * as types from '@switchridge/types'
import * as computeForecast from '../computeForecast/index.js'
import type * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as createWaitingQueue from '../createWaitingQueue/index.js'
import type * as gateway from '../types/index.js'
import * as callState from './callState.js'

/** Calls wait where the origin needs longer than this fraction of the route's timeout to send one copy of the weights: the one retry of a caller can't bridge that. */
const COPY_TIMEOUT_FRACTION = 0.5
const BITS_PER_BYTE = 8
const BITS_PER_MS_IN_MEGABIT = 1000
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

/**
 * Whether calls of a route may wait for the engines of a service to return.
 *
 * @param configuration - The configuration.
 * @param route - The route.
 * @param service - The service.
 * @returns False also if a figure is missing, or if engines may hold different models: the forecast doesn't tell these apart.
 */
export function mayWait (configuration: gateway.Configuration, route: Pick<gateway.Route, 'timeoutMs'>, service: gateway.Service | null): boolean {
  const linkMbps = configuration.services.find(({ originAddress }) => originAddress !== null)?.linkMbps ?? null
  if (linkMbps === null || service === null || service.engine === null || service.engine.models.length !== 1) return false
  if (service.engine.usualPromptTokens === null || computeForecast.computeHoldMs(service.engine, service.engine.usualPromptTokens, 0) === null) return false
  const copyMs = service.engine.chunks * service.engine.chunkBytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MS_IN_MEGABIT)
  return copyMs > route.timeoutMs * COPY_TIMEOUT_FRACTION
}

/**
 * Lists the services whose calls may wait on at least one route.
 *
 * @param configuration - The configuration.
 * @returns Their names.
 */
export function listWaitingServices (configuration: gateway.Configuration): ReadonlySet<types.ServiceName> {
  return new Set(configuration.services.filter((service) => configuration.routes.some((route) => route.splits.some((split) => split.service === service.name) && mayWait(configuration, route, service))).map(({ name }) => name))
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
 * @param mayServe - Whether a version of its weights may still serve.
 * @param now - Monotonic time in milliseconds.
 * @returns The engines.
 */
export function listForecastEngines (backEnds: readonly gateway.BackEnd[], tracker: Pick<createBackEndTracker.BackEndTracker, 'read'>, model: string, mayServe: (version: number) => boolean, now: number): computeForecast.ForecastEngine[] {
  return backEnds.flatMap((backEnd) => {
    const { report, readyAt, isGone, sentSinceReport } = tracker.read(backEnd.id)
    if (report?.isLeaving !== true && readyAt !== null) return [{ slots: backEnd.slots, freeSlots: backEnd.slots, readyInMs: Math.max(1, readyAt - now) }]
    const version = report?.models.get(model)
    if (isGone || report === null || report.isLeaving || version === undefined || !mayServe(version)) return []
    return [{ slots: backEnd.slots, freeSlots: Math.max(0, backEnd.slots - report.running - report.waiting - sentSinceReport), readyInMs: 0 }]
  })
}
