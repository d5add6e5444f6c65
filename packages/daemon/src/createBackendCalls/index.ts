/** Runs calls on the back end beside this daemon. Each passes the ticket check, version selection and admission before the back end receives it. */
import type * as http from 'node:http'
import type * as Koa from 'koa'
import * as zod from 'zod'
import * as types from '@switchridge/types'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import type * as transfer from '@switchridge/transfer'
import type * as observability from '@switchridge/observability'
import type * as createServedVersions from '../createServedVersions/index.js'
import type * as createBackEndState from '../createBackEndState/index.js'
import * as callHeaders from '../_lib/callHeaders.js'
import * as registerCall from '../_lib/registerCall.js'
import * as sendStream from '../_lib/sendStream.js'
import * as waitForBody from '../_lib/waitForBody.js'
import * as watchEventEnd from '../_lib/watchEventEnd.js'

/** The call description that an entry node sends along with a call. */
export const callSchema = zod.object({
  service: zod.string(),
  row: zod.string(),
  account: zod.string(),
  share: zod.number().positive(),
  priority: zod.enum(['interactive', 'batch']),
  method: zod.string().max(16),
  /** Time left until the deadline, in milliseconds. */
  deadlineMs: zod.number(),
  isRepeatable: zod.boolean()
})

type Call = zod.infer<typeof callSchema>

/** Options of {@link createBackendCalls}. */
export interface BackendCallsOptions {
  readonly identity: rpc.Identity
  readonly service: types.ServiceName
  readonly incarnation: types.IncarnationId
  readonly url: string
  readonly isEngine: boolean
  readonly admission: routing.Admission
  readonly tickets: routing.Tickets
  readonly serving: createServedVersions.ServedVersions
  readonly agents: rpc.HttpAgents
  readonly uplink: transfer.LinkPacer
  readonly count: (name: string) => void
  readonly register: observability.CallRegister
  /** Called with the entry node of a call that was refused because the queue for slots was full. */
  readonly onQueueFull: (entryNode: types.NodeId) => void
  /** Schedules an action after a delay in milliseconds that includes time spent suspended; returns a function that cancels it. */
  readonly after: (milliseconds: number, action: () => void) => () => void
  /** Called when the back end's response headers arrive. */
  readonly onAnswer: () => void
  /** Checks, for a response whose end only the end of its connection marked, whether the back end has ended; resolves with its instance, or null while it runs. */
  readonly findTerminatedInstance: createBackEndState.BackEndState['findTerminatedInstance']
}

const CALL_PREFIX = '/calls'
const VERSION_NOT_LOADED = 409

/**
 * Creates the middleware for `POST /calls/...`.
 *
 * @param options - Back end, admission control and tickets.
 * @returns A koa middleware.
 */
export function createBackendCalls (options: BackendCallsOptions): Koa.Middleware {
  const { admission, tickets, serving } = options

  async function handle (context: Koa.Context): Promise<void> {
    const ticket = types.brandId<types.TicketId>(context.get(callHeaders.TICKET_HEADER))
    const call = parseCall(context.get(callHeaders.CALL_HEADER))
    const refusal = findRefusal(context, call, ticket)
    if (call === null || refusal !== '') {
      refuse(context, refusal)
      return
    }
    const pin = options.isEngine ? serving.pin(types.brandId<types.RowId>(call.row)) : undefined
    if (options.isEngine && pin === undefined) {
      tickets.refuse(ticket)
      // A daemon that leaves is no longer assigned any version; entry nodes have to learn the reason, since they stop sending calls here only for that.
      refuse(context, admission.isClosed() ? 'leaving' : 'not-serving')
      return
    }
    const admitted = admission.admit({ account: types.brandId<types.AccountId>(call.account), share: call.share, priority: call.priority })
    try {
      await runAdmitted(context, call, ticket, admitted, pin?.served)
    } catch (thrown) {
      tickets.finish(ticket)
      throw thrown
    } finally {
      pin?.release()
    }
  }

  function findRefusal (context: Koa.Context, call: Call | null, ticket: types.TicketId): string {
    if (call === null || ticket === '') return 'malformed'
    if (call.service !== options.service) return 'other-service'
    if (context.get(callHeaders.INCARNATION_HEADER) !== options.incarnation) return 'restarted'
    return tickets.open(ticket) ? '' : 'ticket-closed'
  }

  async function runAdmitted (context: Koa.Context, call: Call, ticket: types.TicketId, admitted: routing.AdmissionRequest, served: types.ServedVersion | undefined): Promise<void> {
    const cancelExpiry = options.after(call.deadlineMs, () => { admitted.cancel('deadline') })
    const cancel = (): void => { admitted.cancel('cancelled') }
    context.req.once('aborted', cancel)
    const slot = await admitted.slot
    cancelExpiry()
    context.req.off('aborted', cancel)
    if (!slot.ok) {
      tickets.refuse(ticket)
      if (slot.error.reason === 'full') options.onQueueFull(types.brandId<types.NodeId>(context.get('x-switchridge-node')))
      refuse(context, slot.error.reason)
      return
    }
    try {
      await execute(context, call, ticket, served)
    } finally {
      slot.value()
    }
  }

  async function execute (context: Koa.Context, call: Call, ticket: types.TicketId, served: types.ServedVersion | undefined): Promise<void> {
    const body = await rpc.readBody(context, types.MAXIMUM_CALL_BODY_BYTES)
    if (!body.ok) {
      tickets.refuse(ticket)
      refuse(context, 'body')
      return
    }
    const abort = new AbortController()
    const mayCancel = options.isEngine || call.isRepeatable
    const cancel = (): void => { if (mayCancel) abort.abort() }
    context.res.once('close', cancel)
    const started = await startRequest(context, call, body.value, served, abort.signal)
    if (!started.ok) {
      answerFailure(context, ticket, started.error)
      return
    }
    options.onAnswer()
    if (isOtherVersion(started.value, served)) {
      started.value.destroy()
      answerWrongVersion(context, ticket, started.value)
      return
    }
    const isFramed = rpc.hasMessageFraming(started.value, call.method)
    const hasEndedOrderly = rpc.watchOrderlyEnd(started.value.socket)
    if (!isFramed && rpc.expectsBody(started.value.statusCode ?? 0) && !await waitForBody.waitForBody(started.value)) {
      started.value.destroy()
      answerFailure(context, ticket, new Error('the response without framing ended before its body'))
      return
    }
    const endsInsideEvent = isFramed ? () => false : watchEventEnd.watchEventEnd(started.value)
    const confirmEnd = async (): Promise<boolean> => hasEndedOrderly() && !endsInsideEvent() && await options.findTerminatedInstance() === null
    await forwardResponse(context, started.value, served, isFramed ? undefined : confirmEnd)
    tickets.finish(ticket)
  }

  async function startRequest (context: Koa.Context, call: Call, body: Buffer, served: types.ServedVersion | undefined, signal: AbortSignal): Promise<types.Outcome<http.IncomingMessage, rpc.RequestError>> {
    const headers = callHeaders.selectForwardedHeaders(context.headers)
    if (served !== undefined) headers[callHeaders.ENGINE_VERSION_HEADER] = served.manifest
    return await rpc.openRequest(options.agents, {
      base: options.url,
      path: context.url.slice(CALL_PREFIX.length),
      method: call.method,
      headers,
      ...(body.length > 0 ? { body } : {}),
      signal
    })
  }

  /** Without a connection the call did not run; after any other failure it may have run. */
  function answerFailure (context: Koa.Context, ticket: types.TicketId, error: Error & { readonly wasConnecting?: boolean }): void {
    if (error.wasConnecting === true) {
      tickets.refuse(ticket)
      refuse(context, 'back-end-unreachable')
      return
    }
    tickets.finish(ticket)
    options.count('calls.unknown')
    context.status = 502
    context.set(callHeaders.OUTCOME_HEADER, 'unknown')
    context.set(callHeaders.REASON_HEADER, 'back-end-broke')
    context.set(callHeaders.LOAD_HEADER, callHeaders.formatLoad(admission.load()))
    context.body = { error: error.message }
  }

  function isOtherVersion (response: http.IncomingMessage, served: types.ServedVersion | undefined): boolean {
    if (served === undefined) return false
    return response.statusCode === VERSION_NOT_LOADED || (response.statusCode === 200 && response.headers[callHeaders.ENGINE_VERSION_HEADER] !== served.manifest)
  }

  function answerWrongVersion (context: Koa.Context, ticket: types.TicketId, response: http.IncomingMessage): void {
    options.count('calls.wrong-version')
    if (response.statusCode === VERSION_NOT_LOADED) {
      tickets.refuse(ticket)
      refuse(context, 'version-not-loaded')
      return
    }
    answerFailure(context, ticket, new Error('the engine answered from another version'))
  }

  async function forwardResponse (context: Koa.Context, response: http.IncomingMessage, served: types.ServedVersion | undefined, confirmEnd: (() => Promise<boolean>) | undefined): Promise<void> {
    context.status = response.statusCode ?? 502
    for (const [name, value] of Object.entries(callHeaders.selectForwardedHeaders(response.headers))) context.set(name, value)
    if (response.headers['content-length'] !== undefined) context.set('content-length', response.headers['content-length'])
    context.set(callHeaders.OUTCOME_HEADER, 'answered')
    context.set(callHeaders.LOAD_HEADER, callHeaders.formatLoad(admission.load()))
    if (served !== undefined) context.set(callHeaders.VERSION_HEADER, `${served.row}@${served.version}`)
    response.on('data', (part: Buffer) => { options.uplink.countCallBytes(part.length) })
    response.pause()
    const isComplete = await sendStream.sendStream(context, response, confirmEnd)
    options.count(isComplete ? 'calls.answered' : 'calls.broken')
  }

  function refuse (context: Koa.Context, reason: string): void {
    options.count(`calls.not-run.${reason}`)
    context.req.resume()
    context.status = 503
    context.set(callHeaders.OUTCOME_HEADER, 'not-run')
    context.set(callHeaders.REASON_HEADER, reason)
    context.set(callHeaders.LOAD_HEADER, callHeaders.formatLoad(admission.load()))
    context.body = { error: reason }
  }

  return async (context, next) => {
    if (!context.path.startsWith(CALL_PREFIX + '/') || context.method !== 'POST') {
      await next()
      return
    }
    registerCall.registerCall(options.register, context, context.get(callHeaders.REQUEST_ID_HEADER))
    const admitted = rpc.checkIdentityHeaders(options.identity, context.headers)
    if (admitted.ok) {
      await handle(context)
    } else {
      rpc.discardBody(context.req, context.res)
      refuse(context, 'identity')
    }
  }
}

function parseCall (text: string): Call | null {
  try {
    return callSchema.parse(JSON.parse(text))
  } catch {
    return null
  }
}
