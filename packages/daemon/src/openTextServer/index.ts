/** Answers short questions by path: readiness, metrics and status. */
import * as http from 'node:http'
import type * as types from '@switchridge/types'

/** An answer. */
export interface TextAnswer {
  readonly status: number
  readonly type?: string
  readonly body?: string
}

/** An open server. */
export interface TextServer {
  readonly close: () => void
}

const IDLE_MS = 10_000
const NOT_FOUND = 404

/**
 * Opens the server.
 *
 * @param address - Where it is asked.
 * @param paths - What is answered, by path.
 * @returns The open server.
 */
export async function openTextServer (address: types.Address, paths: Readonly<Record<string, () => TextAnswer | Promise<TextAnswer>>>): Promise<TextServer> {
  async function answer (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const found = await paths[request.url ?? '']?.() ?? { status: NOT_FOUND }
    response.statusCode = found.status
    if (found.type !== undefined) response.setHeader('Content-Type', found.type)
    response.end(found.body)
  }

  const server = http.createServer({ noDelay: true, keepAliveTimeout: IDLE_MS }, (request, response) => {
    response.on('error', () => {})
    answer(request, response).catch(() => { response.destroy() })
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
