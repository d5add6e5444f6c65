/** Serves short texts over HTTP by path, such as readiness, metrics and status. */
import * as http from 'node:http'
import * as rpc from '@switchridge/rpc'
import type * as types from '@switchridge/types'

/** A response. */
export interface TextAnswer {
  readonly status: number
  readonly type?: string
  readonly body?: string
}

/** A running server. */
export interface TextServer {
  /** Stops accepting connections; resolves when the open requests have been answered and all connections are closed. */
  readonly close: () => Promise<void>
  /** Stops accepting connections and closes the open ones at once. */
  readonly abort: () => void
}

const KEEP_ALIVE_TIMEOUT_MS = 10_000
const NOT_FOUND = 404

/**
 * Starts the server.
 *
 * @param address - The address to listen on.
 * @param paths - Handlers by path; other paths get status 404.
 * @returns The running server. Rejects if the address cannot be bound.
 */
export async function openTextServer (address: types.Address, paths: Readonly<Record<string, () => TextAnswer | Promise<TextAnswer>>>): Promise<TextServer> {
  async function answer (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const found = await paths[request.url ?? '']?.() ?? { status: NOT_FOUND }
    response.statusCode = found.status
    if (found.type !== undefined) response.setHeader('Content-Type', found.type)
    response.end(found.body)
  }

  const server = http.createServer({ noDelay: true, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS })
  const connections = rpc.trackConnections(server, (request, response) => {
    response.on('error', () => {})
    rpc.handleInTurn(response, () => {
      rpc.discardBody(request, response)
      answer(request, response).catch(() => { response.destroy() })
    })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, resolve)
  })
  return { close: connections.drain, abort: connections.abort }
}
