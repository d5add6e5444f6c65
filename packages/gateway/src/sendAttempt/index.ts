/** Sends one attempt of a call to a back end over a connection of its own. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as startTimeout from '../_lib/startTimeout.js'

/** The request to send. */
export interface AttemptRequest {
  readonly address: types.Address
  readonly method: string
  readonly path: string
  /** Alternating names and values. */
  readonly headers: readonly string[]
  readonly body: Buffer | null
  /** Milliseconds within which the connection must be established. */
  readonly connectTimeoutMs: number
  /** Whether nothing may be sent after that time, not even over a connection that was established in time while this process stalled; false when absent. */
  readonly mustSendInTime?: boolean
  /** Called with the milliseconds that connecting took; not called if no connection was established. */
  readonly onConnect: (tookMs: number) => void
}

/** First result of an attempt. */
export type AttemptStart =
  /** Nothing was sent: no connection was established. `isRefused` if it was refused at once, no if absent. */
  | { readonly kind: 'not-sent', readonly reason: string, readonly isRefused?: boolean }
  /** Sent, but no response arrived; the call may have run. `isClosedByPeer` is false if the bytes received were not an HTTP response. */
  | { readonly kind: 'no-answer', readonly reason: string, readonly isClosedByPeer: boolean }
  /** The head of the response has arrived. `isWhole`: whether the response was received completely; call it after the response has ended. */
  | { readonly kind: 'answer', readonly response: http.IncomingMessage, readonly isFramed: boolean, readonly isWhole: () => boolean }

/** What a back end sent instead of an answer: bytes that are no HTTP response, or a head or trailers that are too large. */
export type Violation = 'no-response' | 'head-too-large'

/** What has arrived from a back end. */
export interface ReceivedCounts {
  /** Bytes of its connection, with heads and framing. */
  readonly bytes: number
  /** Parts in which the body arrived; a chunk of a chunked body is one. */
  readonly chunks: number
  /** What ended the attempt; null if nothing did, or something else. */
  readonly violation: Violation | null
}

/** An attempt in progress. */
export interface Attempt {
  /** Resolves with the head of the response, or with the reason why there is none; never rejects. */
  readonly start: Promise<AttemptStart>
  /** Closes the connection at once, which stops the back end's work on the call. */
  readonly abort: () => void
  /** What has arrived so far; absent if it isn't counted. */
  readonly readReceived?: () => ReceivedCounts
}

/** Node.js parses all of a read at once; the least work of an attempt in a turn of the event loop is that of a read of this size, where 64 KiB are usual. */
const READ_BYTES = 8 * types.BYTES_IN_KIBIBYTE
/** Of all connections: a read fills it and is copied before the next one begins. */
const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES)

function pushRead (this: net.Socket, bytes: number): boolean {
  return this.push(Buffer.from(readBuffer.subarray(0, bytes)))
}

/** Each connection serves one attempt, so that a late or duplicate response cannot be taken for that of another call. */
const agent = new http.Agent({ keepAlive: false, maxSockets: Infinity, noDelay: true, onread: { buffer: readBuffer, callback: pushRead } })

/** Error code of a connection to a port at which nobody listens. */
const REFUSED_CODE = 'ECONNREFUSED'
/** Prefix of the error codes of the Node.js HTTP parser: the bytes received were not a response. */
const PARSER_ERROR_PREFIX = 'HPE_'
/** The parser's error code of a head or of trailers that are too large. */
const HEAD_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW'

function findViolation (error: NodeJS.ErrnoException): Violation | null {
  if (error instanceof rpc.ResponseTooLargeError || error.code === HEAD_OVERFLOW_CODE) return 'head-too-large'
  return error.code?.startsWith(PARSER_ERROR_PREFIX) === true ? 'no-response' : null
}

function startConnectTimeout ({ connectTimeoutMs, mustSendInTime = false }: AttemptRequest, onTimeout: () => void): () => void {
  if (!mustSendInTime) return startTimeout.startTimeout(connectTimeoutMs, onTimeout)
  const timer = setTimeout(onTimeout, connectTimeoutMs)
  return () => { clearTimeout(timer) }
}

/**
 * Sends an attempt.
 *
 * @param request - The request to send.
 * @returns The attempt; `start` resolves with the head of the response, and never rejects.
 */
export function sendAttempt (request: AttemptRequest): Attempt {
  const startedAt = performance.now()
  let isConnected = false
  let hasEndedOrderly = (): boolean => false
  let hasDiscarded = false
  let received: http.IncomingMessage | null = null
  let connection: net.Socket | null = null
  let chunks = 0
  let violation: Violation | null = null
  let settle: (start: AttemptStart) => void = () => {}
  const start = new Promise<AttemptStart>((resolve) => { settle = resolve })
  const outgoing = http.request({
    host: request.address.host,
    port: request.address.port,
    method: request.method,
    path: request.path,
    headers: request.headers as string[],
    agent,
    setHost: false,
    insecureHTTPParser: false
  })
  rpc.boundResponseHead(outgoing)
  const cancelTimeout = startConnectTimeout(request, () => { outgoing.destroy(new types.UnavailableError('no connection in time')) })

  function fail (reason: string, isClosedByPeer: boolean, isRefused = false): void {
    cancelTimeout()
    settle(isConnected ? { kind: 'no-answer', reason, isClosedByPeer } : { kind: 'not-sent', reason, isRefused })
  }

  function abort (): void {
    if (received !== null && received.readableLength > 0) {
      // Node.js would end a complete response as if all of it had been read; if its connection has closed, it would not end it at all.
      hasDiscarded = true
      received.destroy()
    } else received?.resume()
    outgoing.destroy()
  }

  outgoing.on('socket', (socket: net.Socket) => {
    connection = socket
    hasEndedOrderly = rpc.watchOrderlyEnd(socket)
    socket.once('connect', () => {
      isConnected = true
      request.onConnect(performance.now() - startedAt)
      cancelTimeout()
    })
  })
  outgoing.on('response', (response) => {
    received = response
    response.on('error', () => {})
    // A listener that is added sooner would begin to read the body.
    response.once('resume', () => { response.on('data', () => { chunks += 1 }) })
    const isFramed = rpc.hasMessageFraming(response, request.method)
    settle({ kind: 'answer', response, isFramed, isWhole: () => response.complete && !hasDiscarded && (isFramed || hasEndedOrderly()) })
  })
  outgoing.on('error', (error: NodeJS.ErrnoException) => {
    violation ??= findViolation(error)
    fail(types.describeError(error), violation === null, error.code === REFUSED_CODE)
  })
  outgoing.on('close', () => { fail('connection closed', true) })
  if (request.body === null) outgoing.end()
  else outgoing.end(request.body)
  return { start, abort, readReceived: () => ({ bytes: connection?.bytesRead ?? 0, chunks, violation }) }
}
