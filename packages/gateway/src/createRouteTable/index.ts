/** Looks up the route, tenant and service of a call in one configuration. */
import type * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'

/** Index of one configuration. */
export interface RouteTable {
  readonly configuration: gateway.Configuration
  /** Finds the route of the host with the longest matching path prefix. */
  readonly findRoute: (host: string, path: string) => gateway.Route | null
  readonly findTenant: (key: string) => gateway.Tenant | null
  readonly findService: (name: types.ServiceName) => gateway.Service | null
  /** Whether calls need an API key unless their route is public. */
  readonly needsKeys: boolean
}

/**
 * Indexes a configuration.
 *
 * @param configuration - The configuration.
 * @returns Its index.
 */
export function createRouteTable (configuration: gateway.Configuration): RouteTable {
  const routesByHost = new Map<string, gateway.Route[]>()
  for (const route of configuration.routes) {
    const routes = routesByHost.get(route.host) ?? []
    routes.push(route)
    routesByHost.set(route.host, routes)
  }
  for (const routes of routesByHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  const tenantsByKey = new Map(configuration.tenants.flatMap((tenant) => tenant.keys.map((key) => [key, tenant] as const)))
  const servicesByName = new Map(configuration.services.map((service) => [service.name, service]))
  return {
    configuration,
    needsKeys: configuration.tenants.length > 0,
    findRoute: (host, path) => {
      const pathOnly = path.split('?', 1)[0] ?? path
      return routesByHost.get(readHostName(host))?.find((route) => pathOnly.startsWith(route.pathPrefix)) ?? null
    },
    findTenant: (key) => tenantsByKey.get(key) ?? null,
    findService: (name) => servicesByName.get(name) ?? null
  }
}

function readHostName (host: string): string {
  return host.toLowerCase().split(':', 1)[0] ?? ''
}
