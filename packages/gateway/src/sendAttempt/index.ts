/** Sends one attempt of a call to a back end over a connection of its own. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as types from '@switchridge/types'

/** What is sent, and where. */
export interface AttemptRequest {
  readonly address: types.Address
  readonly method: string
  readonly path: string
  /** Names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Buffer | null
  /** Milliseconds until a connection must stand. */
  readonly connectMs: number
  /** Told of the milliseconds that the connection took; not told when it never stood. */
  readonly onConnect: (tookMs: number) => void
}

/** How an attempt began. */
export type AttemptStart =
  /** Nothing was sent: the connection never stood. */
  | { readonly kind: 'not-sent', readonly reason: string }
  /** Sent, and no answer came; the call may have run. `isCut` unless what came was no answer in the protocol. */
  | { readonly kind: 'no-answer', readonly reason: string, readonly isCut: boolean }
  | { readonly kind: 'answer', readonly response: http.IncomingMessage, readonly isFramed: boolean, readonly isWhole: () => boolean }

/** An attempt under way. */
export interface Attempt {
  readonly start: Promise<AttemptStart>
  /** Closes the connection at once, which ends the back end's work. */
  readonly abort: () => void
}

/** A connection serves one attempt: an answer that comes late or twice can't meet another call. */
const agent = new http.Agent({ keepAlive: false, maxSockets: Infinity, noDelay: true })

/** Codes of the runtime's parser: bytes came that are no answer. */
const PARSER_CODES = 'HPE_'
const STATUS_NO_CONTENT = 204
const STATUS_NOT_MODIFIED = 304

/**
 * Whether an answer tells its own end. The runtime takes a reset for the end of one that does not; only an orderly
 * end of the connection is one, and even that may come early.
 */
function hasFrame (response: http.IncomingMessage, method: string): boolean {
  const { headers, statusCode } = response
  if (headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined) return true
  return method === 'HEAD' || statusCode === STATUS_NO_CONTENT || statusCode === STATUS_NOT_MODIFIED
}

/**
 * Whether a connection that ended still has its peer. The runtime reports a reset that arrives together with bytes
 * as an orderly end; only after an orderly one does the system know the other side. The address must not have
 * been read before, because the socket keeps what it read.
 */
function hasPeer (socket: net.Socket): boolean {
  return socket.remoteAddress !== undefined
}

/**
 * Sends an attempt.
 *
 * @param request - What is sent, and where.
 * @returns The attempt; `start` resolves with the head of the answer, and never rejects.
 */
export function sendAttempt (request: AttemptRequest): Attempt {
  const startedAt = performance.now()
  let isConnected = false
  let hasFailed = false
  let hasEnded = false
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
  const connectTimer = setTimeout(() => { outgoing.destroy(new types.UnavailableError('no connection in time')) }, request.connectMs)

  function fail (reason: string, isCut: boolean): void {
    clearTimeout(connectTimer)
    settle(isConnected ? { kind: 'no-answer', reason, isCut } : { kind: 'not-sent', reason })
  }

  outgoing.on('socket', (socket: net.Socket) => {
    socket.prependListener('error', () => { hasFailed = true })
    socket.prependListener('end', () => { hasEnded = hasPeer(socket) })
    socket.once('connect', () => {
      isConnected = true
      request.onConnect(performance.now() - startedAt)
      clearTimeout(connectTimer)
    })
  })
  outgoing.on('response', (response) => {
    response.on('error', () => {})
    const isFramed = hasFrame(response, request.method)
    settle({ kind: 'answer', response, isFramed, isWhole: () => response.complete && (isFramed || (hasEnded && !hasFailed)) })
  })
  outgoing.on('error', (error: NodeJS.ErrnoException) => { fail(types.describeError(error), error.code?.startsWith(PARSER_CODES) !== true) })
  outgoing.on('close', () => { fail('connection closed', true) })
  if (request.body === null) outgoing.end()
  else outgoing.end(request.body)
  return { start, abort: () => { outgoing.destroy() } }
}
