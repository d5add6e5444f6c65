/** Answers the platform's balancer whether this gateway takes callers. */
import * as http from 'node:http'
import type * as types from '@switchridge/types'

/** An open readiness server. */
export interface Readiness {
  readonly close: () => void
}

/**
 * Opens the server.
 *
 * @param address - Where the balancer asks.
 * @param path - What it asks for.
 * @param isReady - Whether callers may come.
 * @returns The open server.
 */
export async function createReadiness (address: types.Address, path: string, isReady: () => boolean): Promise<Readiness> {
  const server = http.createServer({ noDelay: true, keepAliveTimeout: 10_000 }, (request, response) => {
    response.on('error', () => {})
    response.statusCode = request.url === path ? (isReady() ? 200 : 503) : 404
    response.end()
  })
  server.on('clientError', (_error, socket) => { socket.destroy() })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, resolve)
  })
  return {
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
