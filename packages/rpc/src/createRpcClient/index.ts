/** Client for JSON-RPC 2.0 over HTTP between daemons. */
import * as jsonRpc from 'json-rpc-2.0'
import * as types from '@switchridge/types'
import type * as agents from '../createHttpAgents/index.js'
import * as identity from '../createIdentity/index.js'
import * as openRequest from '../openRequest/index.js'

/** Counters of RPC traffic with other daemons, compared with the budget of control traffic. */
export interface TrafficCounters {
  /** Calls sent or received. */
  exchanges: number
  /** Bytes of request and response bodies. */
  bytes: number
}

/** Calls methods of other daemons. */
export interface RpcClient {
  /**
   * Calls a method.
   *
   * @param address - The other daemon.
   * @param method - Method name.
   * @param params - Parameters, serializable as JSON.
   * @param timeoutMs - Milliseconds until the call fails as unavailable; 2000 by default.
   * @returns The result of the method, or the reason for the failure. After an `UnavailableError` it is unknown whether the method ran.
   */
  readonly call: <Result>(address: types.Address, method: string, params: unknown, timeoutMs?: number) => Promise<types.Outcome<Result, RpcFailure>>
}

export type RpcFailure = types.UnavailableError | RpcRefusedError

/** The other daemon received the call and refused it, or its method threw an error. */
export class RpcRefusedError extends types.SwitchridgeError {}

export const RPC_PATH = '/rpc'
const DEFAULT_TIMEOUT_MS = 2000
/** The largest response holds the table, which is stored as one object, or the status of a large hall. */
const MAXIMUM_RESPONSE_BYTES = 4 * types.MAXIMUM_OBJECT_BYTES
/** Each call has its own HTTP request, so all calls can share one JSON-RPC id. */
const CALL_ID = 1
const HTTP_OK = 200

/**
 * Creates an RPC client.
 *
 * @param self - Identity sent to the other daemons.
 * @param httpAgents - Connection pools.
 * @param traffic - Counters that each exchange is added to.
 * @returns The client.
 */
export function createRpcClient (self: identity.Identity, httpAgents: agents.HttpAgents, traffic: TrafficCounters = { exchanges: 0, bytes: 0 }): RpcClient {
  const headers = { ...identity.createIdentityHeaders(self), 'content-type': 'application/json' }

  async function call<Result> (address: types.Address, method: string, params: unknown, timeoutMs = DEFAULT_TIMEOUT_MS): Promise<types.Outcome<Result, RpcFailure>> {
    const request = JSON.stringify(jsonRpc.createJSONRPCRequest(CALL_ID, method, params))
    const sent = await openRequest.sendRequest(httpAgents, { base: formatBaseUrl(httpAgents, address), path: RPC_PATH, method: 'POST', headers, body: request, timeoutMs }, MAXIMUM_RESPONSE_BYTES)
    traffic.exchanges += 1
    traffic.bytes += request.length
    if (!sent.ok) return sent
    traffic.bytes += sent.value.body.length
    const body = parseBody(sent.value.body)
    if (sent.value.status !== HTTP_OK) return types.fail(new RpcRefusedError(describeRefusal(body, sent.value.status)))
    return readResponse<Result>(body)
  }
  return { call }
}

/**
 * Formats the base URL of another daemon.
 *
 * @param httpAgents - Connection pools, which determine the scheme.
 * @param address - The other daemon.
 * @returns Scheme, host and port.
 */
export function formatBaseUrl (httpAgents: agents.HttpAgents, address: types.Address): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host
  return `${httpAgents.scheme}://${host}:${address.port}`
}

function parseBody (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown
  } catch {
    return undefined
  }
}

function readResponse<Result> (body: unknown): types.Outcome<Result, RpcFailure> {
  const response = body as jsonRpc.JSONRPCResponse | undefined
  if (response === undefined) return types.fail(new types.UnavailableError('the answer is not JSON'))
  if (response.error !== undefined) return types.fail(new RpcRefusedError(response.error.message))
  return types.succeed(response.result as Result)
}

function describeRefusal (body: unknown, status: number): string {
  const message = (body as { error?: unknown } | undefined)?.error
  return typeof message === 'string' ? message : `status ${status}`
}
