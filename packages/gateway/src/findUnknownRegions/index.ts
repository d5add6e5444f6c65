/** Finds region names of a configuration that no data hall has. */
import type * as gateway from '../types/index.js'

/**
 * Lists the regions that routes or tenants allow and that are unknown: calls that may enter only such regions are refused.
 *
 * @param configuration - The configuration.
 * @param known - The regions of all data halls.
 * @returns The unknown names, each once, in the order of the configuration.
 */
export function findUnknownRegions ({ routes, tenants }: Pick<gateway.Configuration, 'routes' | 'tenants'>, known: ReadonlySet<string>): string[] {
  const names = new Set([...routes, ...tenants].flatMap(({ allowedRegions }) => allowedRegions))
  return [...names].filter((name) => !known.has(name))
}
