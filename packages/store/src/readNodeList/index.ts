/** The platform's lagging list of live and leaving nodes. */
import * as got from 'got'
import * as zod from 'zod'
import * as types from '@switchridge/types'
import type * as rpc from '@switchridge/rpc'

const nodeListSchema = zod.array(zod.object({
  node: zod.string(),
  state: zod.enum(['live', 'leaving'])
}))

/** One node as the platform sees it. */
export interface ListedNode {
  readonly node: types.NodeId
  readonly state: 'live' | 'leaving'
}

/**
 * Reads the node list.
 *
 * @param url - Address of the platform.
 * @param agents - Connection pools.
 * @param timeoutMs - Milliseconds until the list counts as unavailable.
 * @returns The nodes, or why there is no list.
 */
export async function readNodeList (url: string, agents: rpc.HttpAgents, timeoutMs: number): Promise<types.Outcome<readonly ListedNode[], types.UnavailableError>> {
  try {
    const body = await got.got(`${url}/nodes`, {
      agent: { http: agents.http, https: agents.https },
      timeout: { request: timeoutMs },
      retry: { limit: 0 }
    }).json()
    return types.succeed(nodeListSchema.parse(body) as unknown as ListedNode[])
  } catch (thrown) {
    return types.fail(new types.UnavailableError(`node list: ${types.describeError(thrown)}`))
  }
}
