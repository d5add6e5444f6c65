/** The request path: one caller's request, from its head to its final answer. */
import type * as http from 'node:http'
import * as types from '@switchridge/types'
import * as deadlines from '../_lib/deadline.js'
import * as callState from '../_lib/callState.js'
import * as runAttempts from '../_lib/runAttempts.js'
import * as answers from '../_lib/answers.js'
import type * as callOptions from '../_lib/callOptions.js'
import type * as createRouteTable from '../createRouteTable/index.js'
import * as readBody from '../readBody/index.js'
import type * as gateway from '../types/index.js'

export type { CallChoice, CallHandlerOptions, CallProtocol } from '../_lib/callOptions.js'

/** Handles callers' requests. */
export interface CallHandler {
  readonly handle: (request: http.IncomingMessage, response: http.ServerResponse) => void
  /** Calls under way. */
  readonly inProgress: () => number
  /**
   * Tells callers from now on to leave their connections, and refuses calls that may not end before `endsAt`,
   * a monotonic time in milliseconds.
   */
  readonly leave: (endsAt: number) => void
  /** Gives every call under way its final answer now. */
  readonly endAll: () => void
}

/** A gateway that ends takes no call that has less time than most streams need. */
const LEAVING_CALL_MS = 3000
/** Another gateway can take the call at once. */
const LEAVING_RETRY_MS = 20

/**
 * Creates the handler of callers' requests.
 *
 * @param options - Protocol, configuration, decisions and clock.
 * @returns The handler.
 */
export function createCallHandler (options: callOptions.CallHandlerOptions): CallHandler {
  let inProgress = 0
  let endsAt: number | null = null
  const calls = new Set<callState.CallState>()
  options.guard.onBlocked((blocked) => {
    for (const call of calls) if (call.fingerprint() === blocked) call.takeBack()
  })

  async function run (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const receivedAt = options.now()
    const head = options.protocol.readCall(request)
    const reply = answers.createReply(response, head.requestId, options.protocol, () => endsAt !== null)
    const table = options.routes()
    const limits = table?.configuration.limits
    const body = await readBody.readBody(request, limits?.maximumBodyBytes ?? Infinity)
    if (body.kind === 'broken') return
    if (body.kind === 'too-large') return reply.refuse(413, 'body too large', null)
    if (table === null) return reply.refuse(503, 'no configuration yet', callState.UNREADY_RETRY_MS)
    if (endsAt !== null && receivedAt + LEAVING_CALL_MS > endsAt) return reply.refuse(503, 'this gateway ends', LEAVING_RETRY_MS)
    const admitted = admit(table, head)
    if (!admitted.ok) return reply.refuse(admitted.status, admitted.reason, null)
    const timeoutMs = Math.min(admitted.route.timeoutMs, head.remainingMs ?? Infinity)
    const call = callState.createCallState({
      head,
      route: admitted.route,
      tenant: admitted.tenant,
      service: pickService(admitted.route, options.random()),
      body: readSentBody(request, body.body),
      deadline: deadlines.createDeadline(receivedAt + timeoutMs, options.now),
      receivedAt
    })
    response.once('close', () => { if (!response.writableFinished) call.leave() })
    calls.add(call)
    await runAttempts.runAttempts(call, reply, options)
    calls.delete(call)
  }

  return {
    inProgress: () => inProgress,
    leave: (at) => { endsAt = at },
    endAll: () => { for (const call of calls) call.expire() },
    handle: (request, response) => {
      inProgress += 1
      response.once('close', () => { inProgress -= 1 })
      response.on('error', () => {})
      run(request, response).catch((thrown: unknown) => {
        options.logger.error('call-broken', { error: types.describeError(thrown) })
        response.destroy()
      })
    }
  }
}

type Admitted =
  | { readonly ok: true, readonly route: gateway.Route, readonly tenant: types.AccountId | null }
  | { readonly ok: false, readonly status: number, readonly reason: string }

function admit (table: createRouteTable.RouteTable, head: gateway.CallHead): Admitted {
  const route = table.findRoute(head.host, head.path)
  if (route === null) return { ok: false, status: 404, reason: 'no route' }
  const tenant = head.key === null ? null : table.findTenant(head.key)
  if (table.needsKeys && !route.isPublic && tenant === null) return { ok: false, status: 401, reason: 'unknown key' }
  return { ok: true, route, tenant: tenant?.name ?? null }
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

/** A request without a body is passed on without one. */
function readSentBody (request: http.IncomingMessage, body: Buffer): Buffer | null {
  const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
  return hasBody ? body : null
}
