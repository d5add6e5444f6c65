/** Addresses at which the gateways and the store listen: calls sent there would come back to a gateway, or reach no backend server. */
import type * as settings from '@switchridge/settings'

/** The reserved addresses that one daemon knows. */
export interface ReservedAddresses {
  /** Whether an address of the form IP:PORT is reserved. */
  readonly has: (address: string) => boolean
  /** Adds those of a gateway on another host, which listens at the same ports; returns whether it was new. */
  readonly addGateway: (host: string) => boolean
}

/**
 * Creates the record, with the addresses of the daemon itself and of the store.
 *
 * @param checked - The daemon's settings.
 * @returns The record.
 */
export function createReservedAddresses ({ host: ownHost, internal_port: internalPort, listen, store }: Pick<settings.FleetSettings, 'host' | 'internal_port' | 'listen' | 'store'>): ReservedAddresses {
  const listening = Object.values(listen).filter((address) => address !== undefined)
  const ports = [internalPort, ...listening.map((address) => Number(address.split(':').at(-1)))]
  const hosts = new Set<string>()
  const addresses = new Set([store.address, ...listening])

  function addGateway (host: string): boolean {
    if (hosts.has(host)) return false
    hosts.add(host)
    for (const port of ports) addresses.add(`${host}:${port}`)
    return true
  }

  addGateway(ownHost)
  return { has: (address) => addresses.has(address), addGateway }
}
