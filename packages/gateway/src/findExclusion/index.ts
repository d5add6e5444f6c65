/** Finds out why a back end may not serve a call even if it has room. */
import type * as gateway from '../types/index.js'

/** What excludes back ends. */
export interface ExclusionRules {
  /** The region of each data hall; a hall that is missing is in no region. */
  readonly regions: ReadonlyMap<string, string>
  /** Whether operators are evacuating a data hall. */
  readonly isEvacuated: (zone: string) => boolean
}

/**
 * Finds the reason that excludes a back end. The region takes precedence, because it holds for the call at any time.
 *
 * @param backEnd - The back end.
 * @param allowedRegions - The regions that the call may enter; null for no restriction.
 * @param rules - Regions and evacuations of the data halls.
 * @returns The reason; null if the back end may serve the call.
 */
export function findExclusion ({ zone }: Pick<gateway.BackEnd, 'zone'>, allowedRegions: gateway.AllowedRegions, rules: ExclusionRules): gateway.ExclusionReason | null {
  if (allowedRegions !== null) {
    const region = rules.regions.get(zone)
    if (region === undefined || !allowedRegions.has(region)) return 'region'
  }
  return rules.isEvacuated(zone) ? 'evacuated' : null
}
