/** Permit server of an agent, which enforces the rate limit of the backend server on its node. */
import * as rateLimits from '@switchridge/rate-limits'
import * as types from '@switchridge/types'
import type * as createFleetExchange from '../createFleetExchange/index.js'
import type * as createFleetParts from '../createFleetParts/index.js'

/** After a restart, gateways ask for permits for both instances until all know the new entry; the bound of a cold engine applies to the sum. */
const ENGINE = types.brandId<types.BackEndInstanceId>('engine')

/**
 * Creates the permit server of an agent. An agent always counts the permits of its backend server, and grants the full limit.
 *
 * @param parts - Components of the agent.
 * @param exchange - Returns the exchange that sends the replies; null until it is open.
 * @param onColdRequest - Called when a gateway that knows the backend server as cold requests a permit.
 * @returns The permit server.
 */
export function createAgentPermitServer ({ now, metrics }: Pick<createFleetParts.FleetParts, 'now' | 'metrics'>, exchange: () => createFleetExchange.FleetExchange | null, onColdRequest: () => void = () => {}): rateLimits.PermitServer {
  const counter = rateLimits.createPermitCounter(now)
  return rateLimits.createPermitServer({
    counter: {
      take: (limit, part, isLate) => counter.take(limit.cold === undefined ? limit : { ...limit, life: ENGINE }, part, isLate)
    },
    grantableFraction: (_life, isCold) => {
      if (isCold) onColdRequest()
      return 1
    },
    send: (host, bytes) => { exchange()?.send(host, bytes) },
    count: metrics.count,
    now
  })
}
