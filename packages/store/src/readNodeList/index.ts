/** Reads the platform's list of live and leaving nodes, which lags behind the actual state. */
import * as got from 'got'
import * as zod from 'zod'
import * as types from '@switchridge/types'
import * as rpc from '@switchridge/rpc'

/** Room for tens of thousands of nodes, with about 100 bytes for each. */
const MAXIMUM_LIST_BYTES = 4 * types.BYTES_IN_MEBIBYTE

const nodeListSchema = zod.array(zod.object({
  node: zod.string(),
  state: zod.enum(['live', 'leaving'])
}))

/** A node in the platform's list. */
export interface ListedNode {
  readonly node: types.NodeId
  readonly state: 'live' | 'leaving'
}

/**
 * Reads the node list.
 *
 * @param url - Base URL of the platform.
 * @param agents - Connection pools.
 * @param timeoutMs - Timeout of the request in milliseconds.
 * @returns The nodes, or the reason why the list is unavailable.
 */
export async function readNodeList (url: string, agents: rpc.HttpAgents, timeoutMs: number): Promise<types.Outcome<readonly ListedNode[], types.UnavailableError>> {
  try {
    const request = got.got(`${url}/nodes`, {
      agent: { http: agents.http, https: agents.https },
      timeout: { request: timeoutMs },
      retry: { limit: 0 },
      responseType: 'json',
      resolveBodyOnly: true
    })
    const body = await rpc.limitDownload(request, MAXIMUM_LIST_BYTES)
    return types.succeed(nodeListSchema.parse(body) as unknown as ListedNode[])
  } catch (thrown) {
    return types.fail(new types.UnavailableError(`node list: ${types.describeError(thrown)}`))
  }
}
