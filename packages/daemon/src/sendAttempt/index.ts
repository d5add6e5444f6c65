/** Sends one attempt of a call to a backend daemon and determines its outcome. */
import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as types from '@switchridge/types'
import * as rpc from '@switchridge/rpc'
import type * as routing from '@switchridge/routing'
import * as callHeaders from '../_lib/callHeaders.js'

/** A call as the entry node received it from its caller. */
export interface OutgoingCall {
  readonly service: types.ServiceName
  readonly row: string
  readonly account: types.AccountRow
  readonly method: string
  /** Path and query for the back end. */
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer
  readonly isRepeatable: boolean
  /** Deadline, as a monotonic time in milliseconds. */
  readonly deadlineAt: number
}

/** Outcome of an attempt, with the load that the backend daemon reported. */
export type AttemptResult =
  | { readonly kind: 'answered', readonly response: http.IncomingMessage, readonly load: routing.ReportedLoad | undefined }
  /** The call was not executed, and this attempt never will be. `error`: what was thrown when it was sent. */
  | { readonly kind: 'not-run', readonly reason: string, readonly load: routing.ReportedLoad | undefined, readonly error?: string }
  /** The call may have been executed. */
  | { readonly kind: 'unknown', readonly reason: string, readonly load: routing.ReportedLoad | undefined }

/** Options of {@link sendAttempt}. */
export interface AttemptOptions {
  readonly self: types.NodeId
  readonly identity: rpc.Identity
  readonly agents: rpc.HttpAgents
  readonly client: rpc.RpcClient
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  readonly signal: AbortSignal
}

const TICKET_CALL_TIMEOUT_MS = 1000
const MAXIMUM_TICKET_CALLS = 2
const RESPONSE_GRACE_MS = 250
/** Reason of an attempt that reached no connection to the backend daemon. */
export const NOT_CONNECTED_REASON = 'daemon-not-connected'

/**
 * Sends one attempt.
 *
 * @param call - The call.
 * @param backend - The backend daemon.
 * @param options - Identity, connections and the caller's signal.
 * @returns The answer as a stream, or the known outcome of the attempt.
 */
export async function sendAttempt (call: OutgoingCall, backend: types.MemberFacts, options: AttemptOptions): Promise<AttemptResult> {
  const ticket = crypto.randomUUID()
  const remainingMs = Math.max(1, call.deadlineAt - options.now())
  const callDescription = {
    service: call.service,
    row: call.row,
    account: call.account.id,
    share: call.account.share,
    priority: call.account.priority,
    method: call.method,
    deadlineMs: remainingMs,
    isRepeatable: call.isRepeatable
  }
  const request = {
    base: rpc.formatBaseUrl(options.agents, backend.address),
    path: `/calls${call.path}`,
    method: 'POST',
    headers: {
      ...call.headers,
      ...rpc.createIdentityHeaders(options.identity),
      'x-switchridge-node': options.self,
      [callHeaders.TICKET_HEADER]: ticket,
      [callHeaders.INCARNATION_HEADER]: backend.incarnation,
      [callHeaders.CALL_HEADER]: JSON.stringify(callDescription)
    },
    body: call.body,
    timeoutMs: remainingMs + RESPONSE_GRACE_MS,
    signal: options.signal
  }
  let opened: Awaited<ReturnType<typeof rpc.openRequest>>
  try {
    opened = await rpc.openRequest(options.agents, request)
  } catch (thrown) {
    // Only an address or a header that no request can hold throws, so nothing was sent.
    return { kind: 'not-run', reason: NOT_CONNECTED_REASON, load: undefined, error: types.describeError(thrown) }
  }
  if (opened.ok) return readOutcome(opened.value)
  if (opened.error.wasConnecting) return { kind: 'not-run', reason: NOT_CONNECTED_REASON, load: undefined }
  return await resolveTicket(ticket, backend, options, opened.error)
}

function readOutcome (response: http.IncomingMessage): AttemptResult {
  const outcome = response.headers[callHeaders.OUTCOME_HEADER]
  const load = callHeaders.parseLoad(response.headers[callHeaders.LOAD_HEADER])
  if (outcome === 'answered') return { kind: 'answered', response, load }
  response.on('error', ignoreLateError)
  response.resume()
  const reason = String(response.headers[callHeaders.REASON_HEADER] ?? `status ${response.statusCode ?? 0}`)
  return { kind: outcome === 'not-run' ? 'not-run' : 'unknown', reason, load }
}

/** Ignores errors in the body of a refusal; its headers already carry the outcome. */
function ignoreLateError (): void {}

/** Asks the backend daemon about the ticket; the request closes a ticket that the daemon has not seen. */
async function resolveTicket (ticket: string, backend: types.MemberFacts, options: AttemptOptions, error: Error): Promise<AttemptResult> {
  for (let call = 0; call < MAXIMUM_TICKET_CALLS; call += 1) {
    const asked = await options.client.call<string>(backend.address, 'ticket', { ticket, incarnation: backend.incarnation }, TICKET_CALL_TIMEOUT_MS)
    if (!asked.ok) continue
    if (asked.value === 'not-run') return { kind: 'not-run', reason: 'connection-broke', load: undefined }
    return { kind: 'unknown', reason: `connection-broke-${asked.value}`, load: undefined }
  }
  return { kind: 'unknown', reason: `daemon-unreachable: ${error.message}`, load: undefined }
}
