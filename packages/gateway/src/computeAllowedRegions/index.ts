/** Computes the regions that a call may enter. */
import type * as gateway from '../types/index.js'

/**
 * Combines the lists of the call's route and tenant: a region must be in both, and an empty list does not restrict.
 *
 * @param route - The call's route.
 * @param tenant - The call's tenant; null for none.
 * @returns The allowed regions, possibly none; null for no restriction.
 */
export function computeAllowedRegions (route: Pick<gateway.Route, 'allowedRegions'>, tenant: Pick<gateway.Tenant, 'allowedRegions'> | null): gateway.AllowedRegions {
  const [first, ...others] = [route.allowedRegions, tenant?.allowedRegions ?? []].filter((regions) => regions.length > 0)
  if (first === undefined) return null
  return new Set(first.filter((region) => others.every((regions) => regions.includes(region))))
}
