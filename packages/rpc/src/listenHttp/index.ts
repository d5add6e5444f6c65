/** HTTP or HTTPS server that can be closed without interrupting open requests. */
import * as http from 'node:http'
import * as https from 'node:https'
import type * as net from 'node:net'
import type * as types from '@switchridge/types'
import type * as agents from '../createHttpAgents/index.js'
import * as handleInTurn from '../handleInTurn/index.js'
import * as trackConnections from '../trackConnections/index.js'

/** Options of {@link listenHttp}. */
export interface ListenOptions {
  readonly host: string
  /** 0 lets the operating system choose a free port. */
  readonly port: number
  /** Server key material; clients must then present a certificate of the same authority. */
  readonly tls?: agents.TlsMaterial
  /** Largest size of the request headers; 16 KiB by default. */
  readonly maxHeaderBytes?: number
  /** Called before a connection is closed because no request came in time. */
  readonly onIdleClose?: (close: trackConnections.IdleClose) => void
}

/** A listening server. */
export interface HttpListener {
  readonly address: types.Address
  /** Stops accepting connections, and resolves when the open requests have been answered and all connections are closed. */
  readonly close: () => Promise<void>
  /** Stops accepting connections and closes the open ones at once. */
  readonly abort: () => void
}

const DEFAULT_MAXIMUM_HEADER_BYTES = 16 * 1024
/** Time in milliseconds after which a server closes an idle connection. */
const KEEP_ALIVE_MS = 30_000

/**
 * Starts a server.
 *
 * @param handler - Request handler, for example a koa callback.
 * @param options - Address and key material.
 * @returns The listening server.
 * @throws If it can't listen on the address.
 */
export async function listenHttp (handler: http.RequestListener, options: ListenOptions): Promise<HttpListener> {
  const server = createServer(options)
  const connections = trackConnections.trackConnections(server, (request, response) => {
    handleInTurn.handleInTurn(response, () => { handler(request, response) })
  }, options.onIdleClose)
  server.keepAliveTimeout = KEEP_ALIVE_MS
  server.requestTimeout = 0
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, 1024, resolve)
  })
  const boundAddress = server.address() as net.AddressInfo
  return {
    address: { host: options.host, port: boundAddress.port },
    close: connections.drain,
    abort: connections.abort
  }
}

function createServer (options: ListenOptions): http.Server | https.Server {
  const maxHeaderSize = options.maxHeaderBytes ?? DEFAULT_MAXIMUM_HEADER_BYTES
  if (options.tls === undefined) return http.createServer({ maxHeaderSize, noDelay: true })
  const { certificate, privateKey, authority } = options.tls
  return https.createServer({ maxHeaderSize, cert: certificate, key: privateKey, ca: authority, requestCert: true, rejectUnauthorized: true })
}
