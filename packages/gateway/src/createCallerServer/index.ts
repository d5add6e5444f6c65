/** HTTP server for callers, with limits on request heads and idle connections, that can stop without interrupting requests. */
import * as http from 'node:http'
import * as rpc from '@switchridge/rpc'
import type * as types from '@switchridge/types'
import * as createTimeLimit from '../_lib/createTimeLimit.js'
import type * as createCallHandler from '../createCallHandler/index.js'
import * as gateway from '../types/index.js'

/** A server for callers. */
export interface CallerServer {
  /** Accepts connections at an address. Rejects with the error of the operating system if it can't be listened on. */
  readonly listen: (address: types.Address) => Promise<void>
  /** Applies other limits to future connections and requests; shorter times apply once callers that know the longer ones have had them. */
  readonly setLimits: (limits: gateway.CallerLimits) => void
  /** Number of open connections by phase. */
  readonly countConnections: () => Readonly<Record<rpc.ConnectionPhase, number>>
  /** Number of requests in progress on the connection with the most of them. */
  readonly countMostRequests: () => number
  /** Stops accepting connections and closes idle ones; resolves when all calls are delivered and all connections are closed. */
  readonly drain: () => Promise<void>
  /** Stops accepting connections and destroys all open ones. */
  readonly close: () => void
}

/** Idle connections stay open this much longer than the limit given to callers. */
const IDLE_MARGIN_MS = 1000
/** Interval at which Node.js looks for connections whose request head is overdue. */
const CHECK_INTERVAL_MS = 500
const LISTEN_BACKLOG = 1024
const { maximumHeaderBytes, headerTimeoutMs, idleTimeoutMs } = gateway.DEFAULT_CALLER_LIMITS

/**
 * Creates the server.
 *
 * @param handler - Handles requests.
 * @param onIdleClose - Called before a connection is closed because no request came in time.
 * @param onHeldBack - Called the first time that a caller has sent more requests ahead over a connection than are parsed.
 * @returns The server, which doesn't listen yet.
 */
export function createCallerServer (handler: Pick<createCallHandler.CallHandler, 'handle'>, onIdleClose?: (close: rpc.IdleClose) => void, onHeldBack?: (held: rpc.HeldBack) => void): CallerServer {
  const server = http.createServer({
    maxHeaderSize: maximumHeaderBytes,
    headersTimeout: headerTimeoutMs,
    keepAliveTimeout: idleTimeoutMs + IDLE_MARGIN_MS,
    requestTimeout: 0,
    noDelay: true,
    connectionsCheckingInterval: CHECK_INTERVAL_MS
  })
  const connections = rpc.trackConnections(server, handler.handle, onIdleClose, onHeldBack)
  const setHeaderTimeout = createTimeLimit.createTimeLimit((limitMs) => { server.headersTimeout = limitMs })
  const setIdleTimeout = createTimeLimit.createTimeLimit((limitMs) => { server.keepAliveTimeout = limitMs + IDLE_MARGIN_MS })
  // The handler decides whether the caller may send its body.
  server.on('checkContinue', connections.handle)

  function setLimits (limits: gateway.CallerLimits): void {
    (server as http.Server & { maxHeaderSize: number }).maxHeaderSize = limits.maximumHeaderBytes
    setHeaderTimeout(limits.headerTimeoutMs)
    setIdleTimeout(limits.idleTimeoutMs)
  }

  return {
    listen: async (address) => {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject)
        server.listen(address.port, address.host, LISTEN_BACKLOG, resolve)
      })
    },
    setLimits,
    countConnections: connections.count,
    countMostRequests: connections.countMostRequests,
    drain: connections.drain,
    close: connections.abort
  }
}
