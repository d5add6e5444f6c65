/** HTTP endpoints for operators: metrics and status. */
import * as platform from '@switchridge/platform'
import * as types from '@switchridge/types'
import type * as createFleetParts from '../createFleetParts/index.js'
import * as openTextServer from '../openTextServer/index.js'

const HTTP_OK = 200
const METRICS_PATH = '/metrics'
const STATUS_PATH = '/status'

/**
 * Opens the endpoints at the addresses in the settings. An address that cannot be bound is logged and does not stop the daemon.
 *
 * @param parts - Components of the daemon.
 * @param describeStatus - Returns the status of the role.
 * @returns The server of all endpoints.
 */
export async function openOperatorEndpoints (parts: createFleetParts.FleetParts, describeStatus: () => unknown): Promise<openTextServer.TextServer> {
  const { settings, metrics, logger } = parts
  const paths = {
    [METRICS_PATH]: async () => ({ status: HTTP_OK, type: 'text/plain; version=0.0.4', body: await metrics.format() }),
    [STATUS_PATH]: () => ({ status: HTTP_OK, type: 'application/json', body: JSON.stringify(describeStatus()) })
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
  return {
    close: async () => { await Promise.all(servers.map(async (server) => { await server.close() })) },
    abort: () => { for (const server of servers) server.abort() }
  }
}
