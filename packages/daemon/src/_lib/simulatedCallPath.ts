/** The whole path of calls through one gateway, from its call handler to a sender of attempts, without sockets. */
import * as events from 'node:events'
import type * as http from 'node:http'
import * as clock from '@switchridge/clock'
import * as gateway from '@switchridge/gateway'
import * as types from '@switchridge/types'
import type * as createVersionRecord from '../createVersionRecord/index.js'
import type * as simulatedSender from './simulatedSender.js'

/** A caller's request. */
export interface SimulatedCall {
  readonly requestId: string
  readonly promptTokens: number
  readonly events: number
  readonly bodyBytes: number
  /** Milliseconds after its head in which its body arrives; at once if absent. */
  readonly uploadMs?: number
  readonly remainingMs: number
  /** API key; none if absent. */
  readonly key?: string
  /** Called with the status and the text of the response when the call has ended. */
  readonly onEnded?: (status: number, text: string) => void
}

/** Options of {@link createSimulatedCallPath}. */
export interface CallPathOptions {
  readonly zone: string
  readonly gateways: number
  readonly figures: gateway.EngineFigures
  readonly versions: createVersionRecord.VersionRecord
  readonly backEnds: () => readonly gateway.BackEnd[]
  readonly sendAttempt: gateway.CallHandlerOptions['sendAttempt']
  readonly now: () => number
  readonly random: () => number
  /** Changes of the only route, and the tenants; the route is public if there are none. */
  readonly route?: Partial<gateway.Route>
  readonly tenants?: readonly gateway.Tenant[]
  /** Exclusions, rate limits and slot reservations; none if absent. */
  readonly findExclusion?: gateway.CallHandlerOptions['findExclusion']
  readonly limiter?: gateway.RateLimiter
  readonly reserver?: gateway.SlotReserver
  /** Retry budget; that of a gateway that has just started if absent. */
  readonly budget?: gateway.RetryBudget
  /** Replaces functions of the protocol between this gateway and the sender. */
  readonly protocol?: Partial<gateway.CallProtocol>
}

/** The call path of a gateway. */
export interface SimulatedCallPath {
  readonly tracker: gateway.BackEndTracker
  /** Handles a call; the returned function disconnects the caller. */
  readonly call: (call: SimulatedCall) => () => void
}

export const MODEL = 'm'
export const SERVICE = types.brandId<types.ServiceName>('llm')
const HOST = 'host'
const TARGET_MS = 500
const GAP_TARGET_MS = 300
const TIMEOUT_MS = 6000
const TOKENS_PER_EVENT = 5
const BUDGET: gateway.RetryBudgetLimits = { ratio: 0.5, slack: 60, windowMs: 2000 }

/**
 * Creates the call path of a gateway with the real call handler, tracker and choice of back ends.
 *
 * @param options - Back ends, versions, sender, clock and random numbers.
 * @returns The call path.
 */
export function createSimulatedCallPath (options: CallPathOptions): SimulatedCallPath {
  const { now, random, figures } = options
  const tracker = gateway.createBackEndTracker(now)
  const errorBound = gateway.createErrorBound(now)
  const budget = options.budget ?? gateway.createRetryBudget(BUDGET, () => options.gateways, now)
  const leavers = gateway.createLeavingRecord({ onLeaving: () => {}, now })
  const findExclusion = options.findExclusion ?? (() => null)
  const limiter = options.limiter ?? { noteResponse: () => {}, readAllowance: () => null, acquire: async () => { throw new Error('no back end has a rate limit') } }
  const readBackoff: gateway.BackoffKeeper['read'] = () => ({ waitMs: 0, maximumUnanswered: Infinity })
  const routes = gateway.createRouteTable({
    version: 1,
    routes: [{ name: 'r', host: HOST, pathPrefix: '/', kind: 'stream', timeoutMs: TIMEOUT_MS, targetMs: TARGET_MS, priority: 0, splits: [{ service: SERVICE, weight: 1 }], maximumAttempts: 3, isPublic: true, isResumable: true, gapTargetMs: GAP_TARGET_MS, allowedRegions: [], ...options.route }],
    services: [{ name: SERVICE, engine: figures, originAddress: null, linkMbps: null }],
    limits: gateway.DEFAULT_CALLER_LIMITS,
    tenants: options.tenants ?? []
  })

  const handler = gateway.createCallHandler({
    protocol: {
      readCall: (request) => (request as unknown as { readonly call: gateway.CallHead }).call,
      formatAttempt: (call, attempt) => ['content', JSON.stringify({ requestId: call.requestId, promptTokens: call.promptTokens, events: Math.ceil(call.answerTokens / TOKENS_PER_EVENT), version: attempt.version, lastEventId: attempt.lastEventId } satisfies simulatedSender.AttemptContent)],
      readAnswer: (response) => (response as unknown as simulatedSender.SimulatedResponse).head,
      readAdvertisedRate: () => ({ kind: 'none' }),
      announcesLeaving: () => false,
      readBackoffRequest: () => ({ kind: 'none' }),
      formatGatewayAnswer: () => [],
      ...options.protocol
    },
    routes: () => routes,
    tracker,
    choose: (choice) => gateway.chooseBackEnd({
      backEnds: options.backEnds(),
      tracker,
      figures,
      zone: options.zone,
      gateways: options.gateways,
      model: MODEL,
      promptTokens: choice.promptTokens,
      answerTokens: choice.answerTokens,
      lastBeginAt: (version) => options.versions.lastBeginAt(MODEL, version),
      versionBoundAt: (version) => options.versions.boundAt(MODEL, version),
      endsAt: now() + choice.remainingMs,
      pinnedVersion: choice.version,
      tried: choice.tried,
      isLeaving: leavers.isLeaving,
      findExclusion: (backEnd) => findExclusion(backEnd, choice.allowedRegions),
      readBackoff,
      readAllowance: (backEnd) => limiter.readAllowance(backEnd, choice.isLate),
      mayRequestPermit: choice.mayRequestPermit,
      now: now(),
      random
    }),
    budgetOf: () => budget,
    errorBoundOf: () => errorBound,
    sharedTargetOf: gateway.createSharedTargets(now).note,
    guard: { isActive: () => false, readBlockedMs: () => null, checkEnd: async () => 'whole', noteConnectionLost: async () => {}, noteServed: () => {}, onBlocked: () => {} },
    findExclusion,
    onSent: () => {},
    limiter,
    leavers,
    backoffs: { noteResponse: () => {}, read: readBackoff },
    mustConfirmSlots: () => false,
    reserver: options.reserver ?? { reserve: async () => false, ask: async () => 'unanswered' },
    sendAttempt: options.sendAttempt,
    logger: { debug: () => {}, info: () => {}, warn: () => {}, error: (event, fields) => { throw new Error(`${event} ${JSON.stringify(fields)}`) } },
    count: () => {},
    observe: () => {},
    now,
    at: clock.createDeadlineScheduler({ now, onSuspension: () => {} }),
    random
  })

  return {
    tracker,
    call: (call) => {
      const head: gateway.CallHead = { requestId: call.requestId, host: HOST, path: '/', method: 'POST', remainingMs: call.remainingMs, key: call.key ?? null, model: MODEL, promptTokens: call.promptTokens, answerTokens: call.events * TOKENS_PER_EVENT, promptParts: [], lastEventId: null, passedHeaders: [] }
      const request = Object.assign(new events.EventEmitter(), { call: head, complete: true, headers: { 'content-length': String(call.bodyBytes) } })
      const response = createResponse(call.onEnded ?? (() => {}))
      handler.handle(request as unknown as http.IncomingMessage, response as unknown as http.ServerResponse)
      const endUpload = (): void => {
        request.emit('data', Buffer.alloc(call.bodyBytes))
        request.emit('end')
      }
      if (call.uploadMs === undefined) endUpload()
      else setTimeout(endUpload, call.uploadMs)
      return () => { response.destroy() }
    }
  }
}

/** A response to a caller that reads everything at once. */
function createResponse (onEnded: (status: number, text: string) => void): { readonly destroy: () => void } {
  let status = 0
  let text = ''
  const state = { req: { complete: true, socket: { destroyed: false, errored: null, readableEnded: true } }, shouldKeepAlive: true, useChunkedEncodingByDefault: true, headersSent: false, destroyed: false, writableFinished: false }
  const response = Object.assign(new events.EventEmitter(), state, {
    writeHead: (sent: number) => {
      response.headersSent = true
      status = sent
    },
    write: (bytes: Buffer) => {
      text += bytes.toString()
      return true
    },
    end: (bytes?: Buffer) => {
      text += bytes?.toString() ?? ''
      response.writableFinished = true
      close()
    },
    destroy: () => { close() }
  })

  function close (): void {
    if (response.destroyed) return
    response.destroyed = true
    response.emit('close')
    onEnded(status, text)
  }

  return response
}
