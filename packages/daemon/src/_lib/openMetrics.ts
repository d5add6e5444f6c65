/** Opens the addresses at which operators fetch metrics and status. */
import * as platform from '@switchridge/platform'
import * as types from '@switchridge/types'
import type * as createFleetParts from '../createFleetParts/index.js'
import * as openTextServer from '../openTextServer/index.js'

const OK = 200
const METRICS_PATH = '/metrics'
const STATUS_PATH = '/status'

/**
 * Opens what the settings name; an address that can't be had is logged and does not end the daemon.
 *
 * @param parts - The daemon's parts.
 * @param describeStatus - The role's state for operators.
 * @returns A function that closes all.
 */
export async function openMetrics (parts: createFleetParts.FleetParts, describeStatus: () => unknown): Promise<() => void> {
  const { settings, metrics, logger } = parts
  const paths = {
    [METRICS_PATH]: async () => ({ status: OK, type: 'text/plain; version=0.0.4', body: await metrics.format() }),
    [STATUS_PATH]: () => ({ status: OK, type: 'application/json', body: JSON.stringify(describeStatus()) })
  }
  const addresses: types.Address[] = []
  if (settings.metrics.port > 0) addresses.push({ host: settings.host, port: settings.metrics.port })
  if (settings.listen.control !== undefined) addresses.push(platform.parseAddress(settings.listen.control))
  const servers: openTextServer.TextServer[] = []
  for (const address of addresses) {
    try {
      servers.push(await openTextServer.openTextServer(address, paths))
    } catch (thrown) {
      logger.error('listen-failed', { address: `${address.host}:${address.port}`, error: types.describeError(thrown) })
    }
  }
  return () => { for (const server of servers) server.close() }
}
