/** Calls methods of other daemons: JSON-RPC 2.0 over HTTP. */
import * as jsonRpc from 'json-rpc-2.0'
import * as got from 'got'
import * as types from '@switchridge/types'
import type * as agents from '../createHttpAgents/index.js'
import * as identity from '../createIdentity/index.js'

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

/**
 * Creates a client.
 *
 * @param self - Identity shown to the other daemons.
 * @param httpAgents - Connection pools.
 * @returns The client.
 */
export function createRpcClient (self: identity.Identity, httpAgents: agents.HttpAgents): RpcClient {
  const headers = identity.createIdentityHeaders(self)
  const createId = jsonRpc.createJSONRPCRequest

  async function call<Result> (address: types.Address, method: string, params: unknown, timeoutMs = DEFAULT_TIMEOUT_MS): Promise<types.Outcome<Result, RpcFailure>> {
    try {
      const response = await got.got.post(`${formatBaseUrl(httpAgents, address)}${RPC_PATH}`, {
        json: createId(1, method, params),
        headers,
        agent: { http: httpAgents.http, https: httpAgents.https },
        timeout: { request: timeoutMs },
        retry: { limit: 0 },
        throwHttpErrors: false,
        responseType: 'json'
      })
      if (response.statusCode !== 200) return types.fail(new RpcRefusedError(describeRefusal(response.body, response.statusCode)))
      return readResponse<Result>(response.body)
    } catch (thrown) {
      return types.fail(new types.UnavailableError(types.describeError(thrown)))
    }
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

function readResponse<Result> (body: unknown): types.Outcome<Result, RpcFailure> {
  const response = body as jsonRpc.JSONRPCResponse
  if (response?.error !== undefined) return types.fail(new RpcRefusedError(response.error.message))
  return types.succeed(response.result as Result)
}

function describeRefusal (body: unknown, status: number): string {
  const message = (body as { error?: unknown } | undefined)?.error
  return typeof message === 'string' ? message : `status ${status}`
}
