/** Phases of the connections of an HTTP server, and their orderly ends. */
import * as https from 'node:https'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tls from 'node:tls'
import type * as http from 'node:http'
import * as clock from '@switchridge/clock'
import * as boundDiscardedBody from '../_lib/boundDiscardedBody.js'
import * as createParserFeed from '../_lib/createParserFeed.js'
import * as runInTurns from '../runInTurns/index.js'

/**
 * Phases of a connection. `idle`: no request arrives or is handled, `receiving`: a part of a request's head has arrived, `serving`: a request is handled,
 * `delivering`: its response is complete, and not all of it has been handed to the operating system, `closing`: the server has ended the connection, and discards
 * what arrives until the peer ends it, too.
 */
export type ConnectionPhase = 'idle' | 'receiving' | 'serving' | 'delivering' | 'closing'

/** The connections of a server. */
export interface ConnectionTracker {
  /** Handles a request, for events other than `request` that bring one. */
  readonly handle: http.RequestListener
  /** Number of open connections by phase. */
  readonly count: () => Readonly<Record<ConnectionPhase, number>>
  /** Number of requests in progress on the connection with the most of them, those that wait for their turn included. */
  readonly countMostRequests: () => number
  /**
   * Stops accepting connections, asks peers to close theirs after the next response, and closes those that have been idle for {@link IDLE_CLOSE_MS}.
   * The server's timeouts stay in force. Resolves when no connection is open.
   */
  readonly drain: () => Promise<void>
  /** Stops accepting connections and destroys the open ones, by a reset where a response is not delivered, so that it never looks complete. */
  readonly abort: () => void
}

/** A connection that is closed because no request came in time. */
export interface IdleClose {
  /** Milliseconds since the end of the last response. */
  readonly idleMs: number
  /** Milliseconds by which the end of the idle limit was noticed too late. */
  readonly lateMs: number
  /** Bytes that had arrived since then, the begin of a request. */
  readonly receivedBytes: number
}

/** A connection of which no more is parsed until requests that were sent ahead over it are answered. */
export interface HeldBack {
  /** IP address and port of the peer. */
  readonly peer: string
  /** Requests that are open. */
  readonly requests: number
}

/** A peer that has just read a response, or has just connected, may be sending its next request. */
export const IDLE_CLOSE_MS = 500
/**
 * A connection that was ended is read for this long unless its peer ends it, too: bytes that arrive at a closed socket are answered with a reset, on which the
 * system discards what it has not sent yet.
 */
export const LINGER_MS = 2000
/** An answer that is not longer has left this system, since the receive buffer of a peer that does not read takes it. */
const RECEIVE_BUFFER_BYTES = 16 * 1024
const CHECK_INTERVAL_MS = 50
/** Node.js closes an idle connection this much later than `keepAliveTimeout`, which it tells the peer. */
const KEEP_ALIVE_BUFFER_MS = 1000
/** A server to which peers go on connecting accepts so many more at the begin of a drain: as many as may wait in the queue of the system, with the backlog of the servers. */
const MAXIMUM_ACCEPTED = 1024
/** A server ignores an empty line before a request (RFC 9112, section 2.2), which some peers send after a body; so few bytes are not taken for the begin of a request. */
const EMPTY_LINE_BYTES = 2
/** In the first turn without a new connection, the event loop may not have looked for one. */
const QUIET_TURNS = 2

/** Requests of a connection that are handled or wait for those before them; what a peer sends beyond is not parsed until one is answered. */
export const MAXIMUM_OPEN_REQUESTS = 16
/** Bytes that are parsed since the begin of the first request that waits for another. */
const MAXIMUM_BYTES_AHEAD = 16 * 1024
/** Requests of a connection that are parsed in one turn of the event loop. */
const REQUESTS_PER_TURN = MAXIMUM_OPEN_REQUESTS
/** Estimate of their work, in the units of {@link runInTurns.runInTurns}. */
const UNITS_PER_TURN = 100 * REQUESTS_PER_TURN
/** Bytes that are discarded of an answered request in one turn; as chunks of one byte, they are about as much work as {@link REQUESTS_PER_TURN} requests. */
const DISCARDED_BYTES_PER_TURN = 8 * 1024

const LATE_HEAD_CODE = 'ERR_HTTP_REQUEST_TIMEOUT'
/** Statuses of requests that can't be parsed or whose head does not arrive in time, by the code of the error. */
const STATUS_OF_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  [LATE_HEAD_CODE]: '408 Request Timeout'
}
const DEFAULT_ERROR_STATUS = '400 Bad Request'

interface Connection {
  readonly socket: net.Socket
  readonly feed: createParserFeed.ParserFeed
  /** The responses that are not closed, in the order of their requests, and the bytes that had been parsed before the part that completed the heads of these. */
  readonly responses: Map<http.ServerResponse, number>
  /** Number of requests whose head has been read. */
  requests: number
  /** Requests that had been read at the begin of this turn of the event loop. */
  requestsBeforeTurn: number
  /** The last request whose head has been read. */
  lastRequest: http.IncomingMessage | null
  /** Bytes that had been parsed at the begin of this turn, if a request is being discarded. */
  discardedBeforeTurn: number
  /** Bytes that had been written before the last request. */
  writtenBefore: number
  /** Since when no request is handled, a monotonic time in milliseconds. */
  idleSince: number
  /** Bytes that had arrived at that time. */
  idleBytes: number
  /** Why what follows the whole requests that are handled is refused after their answers; null if it isn't. */
  refusal: NodeJS.ErrnoException | null
  /** Whether it was reported that its peer sends too much ahead. */
  isHeldBackReported: boolean
  isClosing: boolean
}

/**
 * Tracks the connections of a server, handles its requests, and refuses those that can't be parsed or don't arrive in time. Connections that the server ends after a
 * response, or while a long one may still be unsent, are read on until their peer has ended them, too, or until {@link LINGER_MS} have passed.
 *
 * @param server - The server; it must not have accepted connections yet.
 * @param handle - Handles requests. It is not called for those that arrive after their connection was ended.
 * @param onIdleClose - Called before a connection is closed after the server's `keepAliveTimeout`.
 * @param onHeldBack - Called the first time that a peer has sent more ahead than is parsed.
 * @returns The tracker.
 */
export function trackConnections (server: http.Server | https.Server, handle: http.RequestListener, onIdleClose: (close: IdleClose) => void = () => {}, onHeldBack: (held: HeldBack) => void = () => {}): ConnectionTracker {
  const connections = new Map<net.Socket, Connection>()
  let isDraining = false
  let accepted = 0

  function addConnection (socket: net.Socket): void {
    const feed = createParserFeed.createParserFeed(socket, () => decide(connection), () => countBodyBytes(connection), (run) => {
      runInTurns.runInTurns(() => {
        connection.requestsBeforeTurn = connection.requests
        connection.discardedBeforeTurn = connection.feed.readBytes()
        run()
      }, UNITS_PER_TURN)
    })
    const connection: Connection = { socket, feed, responses: new Map(), requests: 0, requestsBeforeTurn: 0, lastRequest: null, discardedBeforeTurn: 0, writtenBefore: 0, idleSince: performance.now(), idleBytes: socket.bytesRead, refusal: null, isHeldBackReported: false, isClosing: false }
    connections.set(socket, connection)
    socket.once('close', () => {
      connections.delete(socket)
      setImmediate(() => { closeResponses(connection) })
    })
    // Node.js calls it after the last response of a connection.
    socket.destroySoon = () => { closeGracefully(connection) }
  }

  function handleRequest (request: http.IncomingMessage, response: http.ServerResponse): void {
    const connection = connections.get(request.socket)
    if (connection?.isClosing !== false) {
      request.resume()
      return
    }
    if (connection.requests === connection.requestsBeforeTurn) setImmediate(() => { connection.requestsBeforeTurn = connection.requests })
    connection.requests += 1
    if (connection.responses.size === 0) connection.writtenBefore = request.socket.bytesWritten
    connection.refusal = null
    connection.lastRequest = request
    connection.responses.set(response, connection.feed.readBytes())
    response.once('close', () => {
      connection.responses.delete(response)
      connection.discardedBeforeTurn = connection.feed.readBytes()
      noteIdle(connection)
      connection.feed.resume()
      const { refusal } = connection
      if (refusal !== null && !hasWholeRequest(connection)) runWithoutRequest(connection, () => { refuse(connection, refusal) })
      if (request.complete) return
      request.once('close', () => { noteIdle(connection) })
      boundDiscardedBody.boundDiscardedBody(request)
    })
    if (isDraining) response.shouldKeepAlive = false
    handle(request, response)
  }

  function decide (connection: Connection): createParserFeed.FeedDecision {
    const decision = decideFeed(connection)
    const { socket, responses, refusal, isHeldBackReported } = connection
    if (decision === 'held' && refusal === null && !isHeldBackReported) {
      connection.isHeldBackReported = true
      onHeldBack({ peer: `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`, requests: responses.size })
    }
    return decision
  }

  function noteIdle (connection: Connection): void {
    connection.idleSince = performance.now()
    connection.idleBytes = connection.socket.bytesRead
  }

  /** Node.js closes only the response that is being sent; those of pipelined requests behind it would stay open. */
  function closeResponses ({ responses }: Connection): void {
    for (const response of responses.keys()) {
      response.destroy()
      response.emit('close')
    }
  }

  function closeGracefully (connection: Connection): void {
    const { socket } = connection
    connection.isClosing = true
    socket.end()
    connection.feed.discard()
    if (socket.writableFinished) linger(socket)
    else socket.once('finish', () => { linger(socket) })
  }

  function linger (socket: net.Socket): void {
    const timer = setTimeout(() => { socket.destroy() }, LINGER_MS)
    socket.once('close', () => { clearTimeout(timer) })
  }

  function destroy ({ socket, responses, isClosing }: Connection): void {
    // TLS marks the end of a connection itself.
    if (responses.size > 0 && !isClosing && !(socket instanceof tls.TLSSocket)) socket.resetAndDestroy()
    else socket.destroy()
  }

  function closeIdle (): void {
    const idleBefore = performance.now() - IDLE_CLOSE_MS
    clock.runAfterReads(() => {
      for (const connection of connections.values()) {
        if (readPhase(connection) === 'idle' && connection.idleSince <= idleBefore) closeUnread(connection)
      }
    })
  }

  /** Closes an idle connection without reading on, so that a peer whose request crosses the close knows that it was not read, unless a reset could discard an answer. */
  function closeUnread (connection: Connection): void {
    const { socket, writtenBefore } = connection
    if (socket.bytesWritten - writtenBefore > RECEIVE_BUFFER_BYTES) closeGracefully(connection)
    else socket.destroy()
  }

  /** Runs an action unless a request arrives on a connection, or had arrived while the process stood still: Node.js runs timers before it reads sockets. */
  function runWithoutRequest (connection: Connection, action: () => void): void {
    const { requests } = connection
    clock.runAfterReads(() => { if (connection.requests === requests && !connection.isClosing) action() })
  }

  function closeIdleConnection (connection: Connection): void {
    const { socket, idleSince } = connection
    const { bytesRead } = socket
    runWithoutRequest(connection, () => {
      const phase = readPhase(connection)
      const isStalled = phase === 'receiving' && socket.bytesRead === bytesRead && !connection.feed.isBehind()
      const idleMs = performance.now() - idleSince
      // The limit may have become longer since the timer was set.
      const limitMs = server.keepAliveTimeout + KEEP_ALIVE_BUFFER_MS
      // Node.js limits the time for the head; it does not for bytes that begin none, such as empty lines.
      if (isStalled && (socket.timeout ?? 0) < server.headersTimeout) {
        socket.setTimeout(server.headersTimeout)
      } else if (phase === 'idle' && idleMs < limitMs) {
        socket.setTimeout(limitMs - idleMs)
      } else if (isStalled || phase === 'idle') {
        onIdleClose({ idleMs, lateMs: idleMs - Math.max(limitMs, socket.timeout ?? 0), receivedBytes: socket.bytesRead - connection.idleBytes })
        socket.destroy()
      }
    })
  }

  function refuseLateHead (connection: Connection, error: NodeJS.ErrnoException): void {
    const { requests } = connection
    const wasIdle = readPhase(connection) === 'idle'
    runWithoutRequest(connection, () => {
      if (!connection.feed.isBehind() && (!wasIdle || readPhase(connection) === 'idle')) refuseAfterAnswers(connection, error)
      else startHeadTimeout()
    })

    /** Limits the time of a head that has only just begun, or of which the rest may have arrived. Node.js does not if it consists of empty lines so far. */
    function startHeadTimeout (): void {
      const { socket } = connection
      const timer = setTimeout(() => { if (connection.requests === requests) refuseLateHead(connection, error) }, server.headersTimeout)
      socket.once('close', () => { clearTimeout(timer) })
    }
  }

  /** What follows whole requests that are handled must not cut their answers. */
  function refuseAfterAnswers (connection: Connection, error: NodeJS.ErrnoException): void {
    if (!hasWholeRequest(connection) || error.code === 'ECONNRESET') refuse(connection, error)
    else connection.refusal ??= error
  }

  /** The event loop accepts one connection in each turn; those that the system has established would be reset together with the listening socket. */
  async function acceptEstablished (): Promise<void> {
    const acceptedBefore = accepted
    let quietTurns = 0
    while (quietTurns < QUIET_TURNS) {
      const acceptedBeforeTurn = accepted
      await timers.setImmediate()
      if (accepted - acceptedBefore >= MAXIMUM_ACCEPTED) return
      quietTurns = accepted === acceptedBeforeTurn ? quietTurns + 1 : 0
    }
  }

  /** `http.Server.close` would also destroy connections whose response is not delivered, and stop checking timeouts. */
  function stopAccepting (): void {
    if (server.listening) net.Server.prototype.close.call(server)
  }

  async function drain (): Promise<void> {
    isDraining = true
    await acceptEstablished()
    stopAccepting()
    for (const { responses } of connections.values()) {
      for (const response of responses.keys()) if (!response.headersSent) response.shouldKeepAlive = false
    }
    await new Promise<void>((resolve) => {
      const timer = setInterval(check, CHECK_INTERVAL_MS)
      check()

      function check (): void {
        closeIdle()
        if (connections.size > 0) return
        clearInterval(timer)
        resolve()
      }
    })
  }

  server.on(server instanceof https.Server ? 'secureConnection' : 'connection', addConnection)
  server.on('connection', () => { accepted += 1 })
  server.on('request', handleRequest)
  server.on('timeout', (socket: net.Socket) => {
    const connection = connections.get(socket)
    if (connection === undefined) socket.destroy()
    else closeIdleConnection(connection)
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => {
    const connection = connections.get(socket)
    if (connection === undefined) socket.destroy()
    else if (error.code === LATE_HEAD_CODE) refuseLateHead(connection, error)
    else if (!connection.isClosing) refuseAfterAnswers(connection, error)
  })
  return {
    handle: handleRequest,
    count: () => {
      const counts: Record<ConnectionPhase, number> = { idle: 0, receiving: 0, serving: 0, delivering: 0, closing: 0 }
      for (const connection of connections.values()) counts[readPhase(connection)] += 1
      return counts
    },
    countMostRequests: () => Math.max(0, ...Array.from(connections.values(), ({ responses }) => responses.size)),
    drain,
    abort: () => {
      for (const connection of connections.values()) destroy(connection)
      server.close()
    }
  }
}

/** Answers a request that can't be parsed or whose head does not arrive in time, and closes its connection. */
function refuse ({ socket, responses }: Connection, { code = '' }: NodeJS.ErrnoException): void {
  const [pendingResponse] = responses.keys()
  if (code === 'ECONNRESET' || !socket.writable || pendingResponse?.headersSent === true) {
    socket.destroy()
    return
  }
  socket.end(`HTTP/1.1 ${STATUS_OF_ERROR[code] ?? DEFAULT_ERROR_STATUS}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  socket.destroySoon()
}

/** Whether the parser may get more of what a peer has sent ahead. */
function decideFeed ({ feed, responses, requests, requestsBeforeTurn, lastRequest, discardedBeforeTurn, refusal }: Connection): createParserFeed.FeedDecision {
  const [, waitingSinceBytes] = responses.values()
  const isAhead = waitingSinceBytes !== undefined && feed.readBytes() - waitingSinceBytes > MAXIMUM_BYTES_AHEAD
  if (responses.size >= MAXIMUM_OPEN_REQUESTS || isAhead || (refusal !== null && refusal.code !== LATE_HEAD_CODE)) return 'held'
  const isDiscarding = responses.size === 0 && lastRequest?.complete === false
  if (isDiscarding && feed.readBytes() - discardedBeforeTurn >= DISCARDED_BYTES_PER_TURN) return 'later'
  return requests - requestsBeforeTurn >= REQUESTS_PER_TURN ? 'later' : 'now'
}

/** How many of the next bytes belong to the body of the last request at least: its bytes begin in or after the part that completed its head. */
function countBodyBytes ({ feed, responses }: Connection): number {
  const [response, sinceBytes] = [...responses].at(-1) ?? []
  if (response === undefined || sinceBytes === undefined || response.req.complete) return 0
  return Number(response.req.headers['content-length'] ?? 0) - (feed.readBytes() - sinceBytes)
}

function hasWholeRequest ({ responses }: Connection): boolean {
  return [...responses.keys()].some(({ req: request }) => request.complete)
}

function readPhase ({ socket, feed, responses, idleBytes, isClosing }: Connection): ConnectionPhase {
  if (isClosing) return 'closing'
  if (responses.size > 0) return [...responses.keys()].every((response) => response.writableEnded) ? 'delivering' : 'serving'
  return socket.bytesRead > idleBytes + EMPTY_LINE_BYTES || feed.isBehind() ? 'receiving' : 'idle'
}
