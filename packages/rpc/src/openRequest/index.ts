/**
 * Requests on the hot paths between daemons and to back ends, with the HTTP client of Node.js.
 * docs/design/http-clients.md has the measurements that led to it instead of got.
 */
import * as http from 'node:http'
import * as https from 'node:https'
import * as tls from 'node:tls'
import * as clock from '@switchridge/clock'
import * as types from '@switchridge/types'
import type * as createHttpAgents from '../createHttpAgents/index.js'
import * as readBoundedBody from '../readBoundedBody/index.js'

/** An HTTP request with its timeouts and callbacks. */
export interface OutgoingRequest {
  /** Scheme, host and port. */
  readonly base: string
  /** Path and query. */
  readonly path: string
  readonly method: string
  readonly headers: http.OutgoingHttpHeaders
  readonly body?: Buffer | string
  /** Milliseconds until the request is aborted, including the response body; no limit when absent. */
  readonly timeoutMs?: number
  /** Idle timeout: milliseconds without a response byte after which the request is aborted; a response that keeps arriving is not aborted. No limit when absent. */
  readonly idleTimeoutMs?: number
  /** Milliseconds until the first response byte, instead of `idleTimeoutMs`; used only together with it. */
  readonly firstByteTimeoutMs?: number
  readonly signal?: AbortSignal
  /** Called when the response headers have arrived. */
  readonly onHeaders?: () => void
  /** Called by `sendRequest` with the size of each chunk of the response body. */
  readonly onBytes?: (bytes: number) => void
  /** Whether to use a connection without keep-alive, which is closed after the response. */
  readonly closeAfterResponse?: boolean
  /** Asked once the connection is open, right before the request is written to it; if it returns false, nothing is sent and the request fails with the code {@link UNSENT_CODE}. */
  readonly mayStillSend?: () => boolean
}

/** Code of the error of a request that was not sent because its sender no longer wanted it. */
export const UNSENT_CODE = 'UNSENT'

/** System calls whose errors say that no connection was made. */
const CONNECTING_SYSCALLS = new Set(['connect', 'getaddrinfo'])

/** The request failed, or its response broke off or exceeded the size limit. */
export class RequestError extends types.UnavailableError {
  /** Error code of the system, such as ECONNREFUSED; empty when there is none. */
  readonly code: string
  /** Whether there was no connection yet, so that nothing of the request was sent. */
  readonly wasConnecting: boolean

  constructor (error: NodeJS.ErrnoException) {
    super(error.message)
    this.code = error.code ?? ''
    this.wasConnecting = CONNECTING_SYSCALLS.has(error.syscall ?? '')
  }
}

/** Part of a response whose size is limited; the framing, such as the lines and extensions of chunks, is limited beyond the size of the body. */
export type LimitedPart = 'head' | 'body' | 'framing'

/** A part of the response exceeded a limit in bytes, and its connection was closed. */
export class ResponseTooLargeError extends RequestError {
  constructor (part: LimitedPart, maximumBytes: number) {
    super(new Error(`the ${part} of the answer exceeds ${maximumBytes} bytes`))
  }
}

/**
 * Sends a request and waits for the response headers.
 *
 * @param httpAgents - Connection pools.
 * @param request - The request.
 * @returns The response; its body is a stream that emits an error if the connection breaks or a timeout expires.
 */
export async function openRequest (httpAgents: createHttpAgents.HttpAgents, request: OutgoingRequest): Promise<types.Outcome<http.IncomingMessage, RequestError>> {
  const isSecure = request.base.startsWith('https:')
  const send = isSecure ? https.request : http.request
  const agents = request.closeAfterResponse === true ? httpAgents.noKeepAlive : httpAgents
  const length = request.body === undefined ? {} : { 'content-length': Buffer.byteLength(request.body) }
  return await new Promise((resolve) => {
    const outgoing = send(request.base + request.path, {
      method: request.method,
      headers: { ...request.headers, ...length },
      agent: isSecure ? agents.https : agents.http,
      ...(request.signal === undefined ? {} : { signal: request.signal })
    })
    let incoming: http.IncomingMessage | null = null
    /** Destroys the response too, so that the consumer of its body receives the reason. */
    const abort = (reason: string): void => {
      incoming?.destroy(new Error(reason))
      outgoing.destroy(new Error(reason))
    }
    if (request.timeoutMs !== undefined) {
      const { timeoutMs } = request
      outgoing.once('close', startTimeout(timeoutMs, () => { abort(`no whole answer within ${timeoutMs} ms`) }))
    }
    if (request.idleTimeoutMs !== undefined) abortWhenIdle(outgoing, request.idleTimeoutMs, request.firstByteTimeoutMs ?? request.idleTimeoutMs, abort)
    outgoing.on('error', (error) => {
      // Otherwise the consumer of the body would only learn that it was aborted. Bytes after a complete body don't concern it.
      if (incoming?.complete === false) incoming.destroy(error)
      resolve(types.fail(error instanceof RequestError ? error : new RequestError(error)))
    })
    outgoing.once('response', (response) => {
      incoming = response
      request.onHeaders?.()
      resolve(types.succeed(response))
    })
    if (request.mayStillSend === undefined) outgoing.end(request.body)
    else sendOnceConnected(outgoing, request.body, request.mayStillSend)
  })
}

/** Writes a request only once its connection is open, so that no time passes between the last question whether it is still wanted and its bytes. */
function sendOnceConnected (outgoing: http.ClientRequest, body: Buffer | string | undefined, mayStillSend: () => boolean): void {
  const send = (): void => {
    if (mayStillSend()) outgoing.end(body)
    else outgoing.destroy(Object.assign(new Error('no longer wanted when its connection was open'), { code: UNSENT_CODE }))
  }
  outgoing.once('socket', (socket) => {
    if (!socket.connecting) send()
    else socket.once(socket instanceof tls.TLSSocket ? 'secureConnect' : 'connect', send)
  })
}

/** Starts a timeout that lets what had arrived be read first, since Node.js runs timers before it reads sockets. Returns a function that cancels it. */
function startTimeout (limitMs: number, action: () => void): () => void {
  let cancelAction = (): void => {}
  const timer = setTimeout(() => { cancelAction = clock.runAfterReads(action) }, limitMs)
  return () => {
    clearTimeout(timer)
    cancelAction()
  }
}

/** Aborts a request whose socket receives no data for a time; a consumer that stops reading the body has the same effect. */
function abortWhenIdle (outgoing: http.ClientRequest, idleTimeoutMs: number, firstByteTimeoutMs: number, abort: (reason: string) => void): void {
  let cancelTimeout = startIdleTimeout(firstByteTimeoutMs)

  function startIdleTimeout (limitMs: number): () => void {
    return startTimeout(limitMs, () => { abort(`no byte of the answer for ${limitMs} ms`) })
  }

  function restartTimeout (): void {
    cancelTimeout()
    cancelTimeout = startIdleTimeout(idleTimeoutMs)
  }

  outgoing.once('socket', (socket) => {
    socket.on('data', restartTimeout)
    outgoing.once('close', () => { socket.off('data', restartTimeout) })
  })
  outgoing.once('close', () => { cancelTimeout() })
}

/**
 * Sends a request and reads the whole response.
 *
 * @param httpAgents - Connection pools.
 * @param request - The request.
 * @param maximumBytes - Largest accepted body. The connection of a longer one is closed, and the request fails with a {@link ResponseTooLargeError}.
 * @returns Status, headers and body of the response.
 */
export async function sendRequest (httpAgents: createHttpAgents.HttpAgents, request: OutgoingRequest, maximumBytes: number): Promise<types.Outcome<BufferedResponse, RequestError>> {
  const opened = await openRequest(httpAgents, request)
  if (!opened.ok) return opened
  const response = opened.value
  const read = await readBoundedBody.readBoundedBody(response, maximumBytes, request.onBytes === undefined ? {} : { onBytes: request.onBytes })
  if (read.kind === 'whole') return types.succeed({ status: response.statusCode ?? 0, headers: response.headers, body: read.body })
  response.destroy()
  if (read.kind === 'broken') return types.fail(read.error instanceof RequestError ? read.error : new RequestError(read.error))
  return types.fail(read.kind === 'over-framed' ? new ResponseTooLargeError('framing', read.allowedBytes) : new ResponseTooLargeError('body', maximumBytes))
}

/** A response whose body was read completely. */
export interface BufferedResponse {
  readonly status: number
  readonly headers: http.IncomingHttpHeaders
  readonly body: Buffer
}
