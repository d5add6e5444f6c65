/** The permits that an agent gives for the back end beside it. */
import * as rateLimits from '@switchridge/rate-limits'
import type * as createFleetExchange from '../createFleetExchange/index.js'
import type * as createFleetParts from '../createFleetParts/index.js'

/**
 * Creates the server of an agent, which always counts.
 *
 * @param parts - Parts of the agent.
 * @param exchange - Its exchange with others; null before it is open.
 * @returns The server.
 */
export function createAgentPermits ({ now, metrics }: Pick<createFleetParts.FleetParts, 'now' | 'metrics'>, exchange: () => createFleetExchange.FleetExchange | null): rateLimits.PermitServer {
  return rateLimits.createPermitServer({
    counter: rateLimits.createPermitCounter(now),
    partOf: () => 1,
    send: (host, bytes) => { exchange()?.send(host, bytes) },
    count: metrics.count,
    now
  })
}
