/** Calls methods of other daemons: JSON-RPC 2.0 over HTTP. */
import * as jsonRpc from 'json-rpc-2.0'
import * as types from '@switchridge/types'
import type * as agents from '../createHttpAgents/index.js'
import * as identity from '../createIdentity/index.js'
import * as openRequest from '../openRequest/index.js'

/** Exchanges of a process with other daemons, for the control budget. */
export interface Traffic {
  exchanges: number
  /** Bytes of bodies in both directions. */
  bytes: number
}

/** Calls one method of one daemon. */
export interface RpcClient {
  /**
   * @param address - The other daemon.
   * @param method - Name of the method.
   * @param params - Its parameters, plain JSON.
   * @param timeoutMs - Milliseconds until the call counts as unavailable.
   */
  readonly call: <Result>(address: types.Address, method: string, params: unknown, timeoutMs?: number) => Promise<types.Outcome<Result, RpcFailure>>
}

export type RpcFailure = types.UnavailableError | RpcRefusedError

/** The other daemon received the call and refused it. */
export class RpcRefusedError extends types.SwitchridgeError {}

export const RPC_PATH = '/rpc'
const DEFAULT_TIMEOUT_MS = 2000
/** Each call has an HTTP exchange of its own, so that its id need not tell it apart. */
const CALL_ID = 1
const OK = 200

/**
 * Creates a client.
 *
 * @param self - Identity shown to the other daemons.
 * @param httpAgents - Connection pools.
 * @param traffic - Where exchanges are counted.
 * @returns The client.
 */
export function createRpcClient (self: identity.Identity, httpAgents: agents.HttpAgents, traffic: Traffic = { exchanges: 0, bytes: 0 }): RpcClient {
  const headers = { ...identity.createIdentityHeaders(self), 'content-type': 'application/json' }

  async function call<Result> (address: types.Address, method: string, params: unknown, timeoutMs = DEFAULT_TIMEOUT_MS): Promise<types.Outcome<Result, RpcFailure>> {
    const request = JSON.stringify(jsonRpc.createJSONRPCRequest(CALL_ID, method, params))
    const sent = await openRequest.sendRequest(httpAgents, { base: formatBaseUrl(httpAgents, address), path: RPC_PATH, method: 'POST', headers, body: request, timeoutMs })
    traffic.exchanges += 1
    traffic.bytes += request.length
    if (!sent.ok) return sent
    traffic.bytes += sent.value.body.length
    const body = parseBody(sent.value.body)
    if (sent.value.status !== OK) return types.fail(new RpcRefusedError(describeRefusal(body, sent.value.status)))
    return readResponse<Result>(body)
  }
  return { call }
}

/**
 * Formats the start of a URL at another daemon.
 *
 * @param httpAgents - Agents that know the scheme.
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
