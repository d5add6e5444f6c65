/** Fetches complete responses from agents with an idle timeout, since they may take long on slow links. */
import * as rpc from '@switchridge/rpc'
import type * as types from '@switchridge/types'

/** Limit for a response that keeps arriving, however slowly. A piece arrives within it at a tenth of the rate of the slowest link. */
export const FETCH_TIMEOUT_MS = 30_000

/**
 * Sends a request and reads the complete response. Within {@link FETCH_TIMEOUT_MS} and `maximumBytes` it is aborted only
 * when no byte arrives for the idle timeout: a response that is aborted while it still arrives would be sent again over the same congested links.
 *
 * @param agents - The connection pools.
 * @param request - The request.
 * @param idleTimeoutMs - Milliseconds without a received byte after which the request is aborted.
 * @param maximumBytes - Largest accepted body.
 * @returns Status, headers and body, or the failure.
 */
export async function fetchWithIdleTimeout (agents: rpc.HttpAgents, request: Omit<rpc.OutgoingRequest, 'timeoutMs' | 'idleTimeoutMs' | 'firstByteTimeoutMs' | 'signal'>, idleTimeoutMs: number, maximumBytes: number): Promise<types.Outcome<rpc.BufferedResponse, types.UnavailableError>> {
  return await rpc.sendRequest(agents, { ...request, idleTimeoutMs, timeoutMs: FETCH_TIMEOUT_MS }, maximumBytes)
}
