/** Computes the rank of a call among those that compete for the same engines. */
import type * as gateway from '../types/index.js'

/** Larger than any priority of a route, so that the tenant's priority is compared first. */
const TENANT_WEIGHT = 1000

/**
 * Computes a call's rank: the tenant's priority first, then the route's.
 *
 * @param route - The call's route.
 * @param tenant - The call's tenant; a call without one ranks like a tenant of priority 0.
 * @returns The rank; lower is more urgent.
 */
export function computeRank (route: Pick<gateway.Route, 'priority'>, tenant: Pick<gateway.Tenant, 'priority'> | null): number {
  return (tenant?.priority ?? 0) * TENANT_WEIGHT + route.priority
}
