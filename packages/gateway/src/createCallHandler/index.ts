/** Handles one caller's request from its head to the final response. */
import type * as http from 'node:http'
import * as observability from '@switchridge/observability'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as deadlines from '../_lib/deadline.js'
import * as callState from '../_lib/callState.js'
import * as logCall from '../_lib/logCall.js'
import * as runAttempts from '../_lib/runAttempts.js'
import * as answers from '../_lib/answers.js'
import type * as callOptions from '../_lib/callOptions.js'
import * as computeAllowedRegions from '../computeAllowedRegions/index.js'
import * as computeForecast from '../computeForecast/index.js'
import type * as createHeldBytes from '../createHeldBytes/index.js'
import type * as createRouteTable from '../createRouteTable/index.js'
import * as computeRank from '../computeRank/index.js'
import * as createSizeShares from '../createSizeShares/index.js'
import * as mayFinishInTime from '../mayFinishInTime/index.js'
import * as gateway from '../types/index.js'

export type { CallChoice, CallHandlerOptions, CallProtocol } from '../_lib/callOptions.js'

/** Handles callers' requests. */
export interface CallHandler {
  readonly handle: (request: http.IncomingMessage, response: http.ServerResponse) => void
  /** The calls in progress. */
  readonly register: observability.CallRegister
  /** Starts draining: asks callers to close their connections, and refuses calls that may not finish in time. */
  readonly drain: (bounds: mayFinishInTime.DrainBounds) => void
  /** Ends all calls in progress with a final response now. */
  readonly endAll: () => void
}

/** Callers of HTTP/1.0 know no permission to send a body. */
const HTTP_WITH_CONTINUE = '1.1'
/** Retry time of a caller whose body can't be held, at most doubled at random; another gateway may have memory. */
const MEMORY_RETRY_MS = 100
/** Why a call ends whose handling threw. */
const BROKEN_REASON = 'handling failed'
/** Retry time of such a call; another gateway may serve it. */
const BROKEN_RETRY_MS = 400

/**
 * Creates the handler.
 *
 * @param options - Protocol, configuration, decisions and clock.
 * @returns The handler.
 */
export function createCallHandler (options: callOptions.CallHandlerOptions): CallHandler {
  const register = observability.createCallRegister({ logger: options.logger, count: options.count, readConfiguration: () => options.routes()?.configuration.version ?? null, now: options.now })
  let drain: mayFinishInTime.DrainBounds | null = null
  const calls = new Set<callState.CallState>()
  const sizeShares = createSizeShares.createSizeShares()
  /** Calls whose requests are still arriving. */
  const readings = new Set<(isOver: boolean) => void>()
  options.guard.onBlocked((isBlocked) => {
    for (const call of calls) if (isBlocked(call)) call.withdraw()
  })

  async function run (request: http.IncomingMessage, response: http.ServerResponse, receivedAt: number): Promise<void> {
    let head: gateway.CallHead
    try {
      head = options.protocol.readCall(request)
    } catch (thrown) {
      logCall.logBroken('', thrown, options)
      answers.createReply(response, '', options.protocol, () => drain !== null).refuse(503, BROKEN_REASON, BROKEN_RETRY_MS)
      return
    }
    await serve(head, request, response, receivedAt)
  }

  async function serve (head: gateway.CallHead, request: http.IncomingMessage, response: http.ServerResponse, receivedAt: number): Promise<void> {
    let state: callState.CallState | null = null
    const registered = register.open({ id: head.requestId, readPhase })
    rpc.watchDelivery(response, registered.close)
    const holding = options.heldBytes?.open(dropCall) ?? null
    const reply = answers.createReply(response, head.requestId, options.protocol, () => drain !== null, holding)
    const table = options.routes()
    const limits = table?.configuration.limits
    let routed: RoutedCall | null = null
    let requestedAt: number | null = null
    let isReading = false
    let isRefused = false
    await serveRouted().catch(endBroken)
    readings.delete(recheck)
    if (state !== null) calls.delete(state)
    holding?.noteRun()

    async function serveRouted (): Promise<void> {
      if (table === null) return reply.refuseUnread(503, 'no configuration yet', callState.NO_CONFIGURATION_RETRY_MS)
      routed = routeCall(table, head)
      if (!routed.ok) return reply.refuseUnread(routed.status, routed.reason, null)
      readings.add(recheck)
      recheck(false)
      if (isRefused) return
      isReading = true
      if (request.headers.expect !== undefined && request.httpVersion === HTTP_WITH_CONTINUE) response.writeContinue()
      const body = await rpc.readBoundedBody(request, (limits ?? gateway.DEFAULT_CALLER_LIMITS).maximumBodyBytes, { mayHold: (heldBytes) => !isRefused && (holding?.noteUpload(heldBytes) ?? true) })
      readings.delete(recheck)
      requestedAt = options.now()
      if (isRefused) return
      if (body.kind === 'broken') return
      if (body.kind === 'over-framed') return refuseFraming(body.allowedBytes)
      if (body.kind === 'not-held') return refuseBody()
      holding?.noteRunning()
      if (body.kind === 'too-large') return reply.refuse(413, 'body too large', null)
      if (!mayFinish(0)) return refuseWhileDraining()
      if (head.promptParts === null) options.count('prompt_parts_unreadable')
      const service = pickService(routed.route, options.random())
      const call = callState.createCallState({
        head,
        route: routed.route,
        tenant: routed.tenant?.name ?? null,
        allowedRegions: computeAllowedRegions.computeAllowedRegions(routed.route, routed.tenant),
        rank: computeRank.computeRank(routed.route, routed.tenant),
        service,
        figures: table.findService(service)?.engine ?? null,
        body: toForwardedBody(request, body.body),
        deadline: deadlines.createDeadline(readDeadlineAt(routed.route), options.now),
        receivedAt,
        completeAt: requestedAt,
        sized: recordSize(routed.route, head, body.body)
      })
      response.once('close', () => { if (!response.writableFinished) call.noteCallerGone() })
      calls.add(call)
      state = call
      registered.noteEnding(await runAttempts.runAttempts(call, reply, options, mayFinish))
    }

    /** Tokens are not compared with bytes, so a route whose callers do not all state the length of their prompts counts as two. */
    function recordSize ({ name }: gateway.Route, { promptTokens }: gateway.CallHead, body: Buffer): createSizeShares.SizedCall {
      return promptTokens > 0 ? sizeShares.open(`${name} (tokens)`, promptTokens) : sizeShares.open(`${name} (bytes)`, body.length)
    }

    /** Ends a call whose handling threw, and its attempts. */
    function endBroken (thrown: unknown): void {
      logCall.logBroken(head.requestId, thrown, options)
      state?.expire()
      if (reply.hasEnded()) return
      const mayHaveRun = reply.hasStarted() || state?.mayHaveRun === true
      registered.noteEnding(mayHaveRun ? 'failed' : 'refused')
      if (reply.hasStarted()) reply.abort()
      else if (mayHaveRun) reply.refuse(502, BROKEN_REASON, null)
      else reply.refuse(503, BROKEN_REASON, BROKEN_RETRY_MS)
    }

    /** Ends a call whose caller has stalled while memory is short. A body that is not complete was not forwarded, and is not if the rest of it arrives. */
    function dropCall ({ phase, bytes, stalledMs }: createHeldBytes.DroppedCall): void {
      options.count('calls_dropped', { phase })
      options.logger.warn('call-dropped', { id: head.requestId, caller: request.socket.remoteAddress, phase, bytes, stalledMs: Math.round(stalledMs) })
      if (phase === 'answer') return reply.abort()
      isRefused = true
      response.once('finish', () => { request.destroy() })
      reply.refuse(408, 'request body stalled', null)
    }

    function readPhase (): observability.CallPhase {
      if (response.writableEnded) return 'delivering'
      if (response.headersSent) return 'answering'
      if (state === null) return 'reading'
      return state.tried.size > 0 ? 'sent' : 'waiting'
    }

    function readDeadlineAt (route: gateway.Route): number {
      return receivedAt + Math.min(route.timeoutMs, head.remainingMs ?? Infinity)
    }

    /** Whether an attempt whose first event is expected within so many milliseconds may end before the process does; true if nothing would be attempted. */
    function mayFinish (firstEventMs: number): boolean {
      if (drain === null || table === null || routed?.ok !== true) return true
      const holdMs = estimateHoldMs(table, routed.route, head)
      const expectedMs = holdMs === null ? null : firstEventMs + holdMs
      return mayFinishInTime.mayFinishInTime(drain, { requestedAt: requestedAt ?? options.now(), deadlineAt: readDeadlineAt(routed.route), expectedMs }, options.now())
    }

    /** Refuses a call whose request is still arriving, unless it may finish in time once that is complete. `isOver`: the grace period is. */
    function recheck (isOver: boolean): void {
      if (!isRefused && (isOver || !mayFinish(0))) refuseWhileDraining()
      // It has its answer, so it is not one of the calls that are cut.
      if (isOver) registered.close('delivered')
    }

    function refuseWhileDraining (): void {
      isRefused = true
      registered.noteEnding('refused')
      options.count('calls_refused_draining')
      options.logger.info('call-refused', { id: head.requestId, reason: 'draining' })
      const refuse = isReading ? reply.refuse : reply.refuseUnread
      refuse(503, callState.DRAIN_REASON, callState.DRAIN_RETRY_MS)
    }

    /** Refuses a call whose body consists of chunks so small that reading them costs far more than their bytes. */
    function refuseFraming (allowedBytes: number): void {
      registered.noteEnding('refused')
      options.count('bodies_over_framed')
      options.logger.warn('body-refused', { id: head.requestId, caller: request.socket.remoteAddress, reason: 'framing', allowedBytes })
      rpc.closeAfterResponse(request, response)
      reply.refuse(400, 'the framing of the body exceeds the body', null)
    }

    function refuseBody (): void {
      options.count('bodies_refused')
      options.logger.warn('body-refused', { id: head.requestId, caller: request.socket.remoteAddress, reason: 'memory', heldBytes: options.heldBytes?.read() })
      reply.refuse(503, 'no memory for the request body', Math.round(MEMORY_RETRY_MS * (1 + options.random())))
    }
  }

  function recheckReadings (isOver: boolean): void {
    for (const recheck of readings) recheck(isOver)
  }

  return {
    register,
    drain: (bounds) => {
      drain = bounds
      recheckReadings(false)
      options.at(bounds.balancedUntil, () => { recheckReadings(false) })
      options.waiting?.end(callState.DRAIN_REASON, callState.DRAIN_RETRY_MS)
    },
    endAll: () => {
      recheckReadings(true)
      register.noteCut('grace-over')
      for (const call of calls) call.expire()
    },
    handle: (request, response) => {
      const receivedAt = options.now()
      response.on('error', () => {})
      rpc.handleInTurn(response, () => {
        run(request, response, receivedAt).catch((thrown: unknown) => {
          response.destroy()
          logCall.logBroken('', thrown, options)
        })
      })
    }
  }
}

type RoutedCall =
  | { readonly ok: true, readonly route: gateway.Route, readonly tenant: gateway.Tenant | null }
  | { readonly ok: false, readonly status: number, readonly reason: string }

function routeCall (table: createRouteTable.RouteTable, head: gateway.CallHead): RoutedCall {
  const route = table.findRoute(head.host, head.path)
  if (route === null) return { ok: false, status: 404, reason: 'no route' }
  const tenant = head.key === null ? null : table.findTenant(head.key)
  if (table.needsKeys && !route.isPublic && tenant === null) return { ok: false, status: 401, reason: 'unknown key' }
  return { ok: true, route, tenant }
}

/** Milliseconds for which a call occupies a slot of the slowest service of its route; null if that of one is unknown. */
function estimateHoldMs (table: createRouteTable.RouteTable, route: gateway.Route, head: gateway.CallHead): number | null {
  const holdMs = route.splits.map(({ service }) => {
    const figures = table.findService(service)?.engine ?? null
    return figures === null ? null : computeForecast.computeHoldMs(figures, head.promptTokens, head.answerTokens)
  })
  return holdMs.includes(null) ? null : Math.max(...holdMs as number[])
}

function pickService (route: gateway.Route, random: number): types.ServiceName {
  const total = route.splits.reduce((sum, split) => sum + split.weight, 0)
  let left = random * total
  for (const split of route.splits) {
    left -= split.weight
    if (left < 0) return split.service
  }
  return (route.splits[route.splits.length - 1] as gateway.ServiceSplit).service
}

/** Returns the body to forward; null if the request has none. */
function toForwardedBody (request: http.IncomingMessage, body: Buffer): Buffer | null {
  const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
  return hasBody ? body : null
}
