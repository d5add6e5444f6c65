/** The server that callers reach: bounded heads and idle times, and an end that cuts no request. */
import * as http from 'node:http'
import type * as net from 'node:net'
import type * as types from '@switchridge/types'
import type * as createCallHandler from '../createCallHandler/index.js'
import * as gateway from '../types/index.js'

/** An open server for callers. */
export interface CallerServer {
  /** Puts other limits in force for connections and requests to come. */
  readonly setLimits: (limits: gateway.CallerLimits) => void
  /** Takes no new connections; those that are open go on. */
  readonly stopAccepting: () => void
  /** Closes connections on which no request is under way. */
  readonly closeIdle: () => void
  readonly close: () => void
}

/** Idle connections stay open this much longer than callers may count on. */
const IDLE_MARGIN_MS = 1000
const CHECK_INTERVAL_MS = 500
const BACKLOG = 1024

/**
 * Opens the server.
 *
 * @param handler - Handles requests.
 * @param address - Where callers reach it.
 * @returns The open server.
 */
export async function createCallerServer (handler: createCallHandler.CallHandler, address: types.Address): Promise<CallerServer> {
  const server = http.createServer({ maxHeaderSize: gateway.DEFAULT_CALLER_LIMITS.maximumHeaderBytes, noDelay: true, connectionsCheckingInterval: CHECK_INTERVAL_MS }, handler.handle)
  setLimits(gateway.DEFAULT_CALLER_LIMITS)
  server.requestTimeout = 0
  server.on('clientError', answerClientError)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, BACKLOG, resolve)
  })

  function setLimits (limits: gateway.CallerLimits): void {
    (server as http.Server & { maxHeaderSize: number }).maxHeaderSize = limits.maximumHeaderBytes
    server.headersTimeout = limits.headerTimeoutMs
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  return {
    setLimits,
    stopAccepting: () => { if (server.listening) server.close() },
    closeIdle: () => { server.closeIdleConnections() },
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

const STATUS_OF_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** Answers what is no request, and ends its connection. */
function answerClientError (error: NodeJS.ErrnoException, socket: net.Socket): void {
  const answering = (socket as net.Socket & { _httpMessage?: http.ServerResponse })._httpMessage
  if (error.code === 'ECONNRESET' || !socket.writable || answering?.headersSent === true) {
    socket.destroy()
    return
  }
  const status = STATUS_OF_ERROR[error.code ?? ''] ?? '400 Bad Request'
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
}
