/** Writes the response to a call: a back end's, or one of the gateway itself. */
import type * as http from 'node:http'
import * as rpc from '@switchridge/rpc'
import type * as createHeldBytes from '../createHeldBytes/index.js'
import type * as callOptions from './callOptions.js'

/**
 * A connection that is closed while bytes of its request are unread is reset, and the reset may overtake the response. So the rest of a request that was refused is
 * read for this long before its connection is closed.
 */
const REFUSED_REQUEST_READ_MS = 2000
/** A body larger than this is passed to the operating system in parts of this size. */
const PART_BYTES = 262_144

/** One run of a call at a back end. */
export interface Run {
  /** Id of the event after which the back end was asked to go on; null if it began at the first one. */
  readonly resumesAfter: string | null
}

/** The response to one request. A stream that has begun holds the events of one run, and of those that were asked to go on after its last event. */
export interface Reply {
  /** Sends a final response of the gateway itself; `retryAfterMs` tells the caller when to retry. */
  readonly refuse: (status: number, reason: string, retryAfterMs: number | null) => void
  /** Sends a final response of the gateway itself at once, and discards little of the request's body, which has not begun to be read. */
  readonly refuseUnread: (status: number, reason: string, retryAfterMs: number | null) => void
  /** Sends a complete response of a back end with its length, so that an early end shows to callers of all versions of HTTP, whatever ends this process. */
  readonly sendBuffered: (status: number, headers: readonly string[], body: Buffer) => void
  /** Whether bytes of a run may be passed on: none have been, or only those of this run, or it goes on after the last event. */
  readonly mayPassOn: (run: Run) => boolean
  /** Whether another run may be passed on, too: none has been, or the last event can be named to another back end. */
  readonly mayContinue: () => boolean
  /** Id of the last event that was passed on; null if there is none. */
  readonly readLastEventId: () => string | null
  /** Sends the head of a stream. A run that may not be passed on breaks the stream off, also in the functions below. */
  readonly beginStream: (run: Run, status: number, headers: readonly string[]) => void
  /** Sends bytes of a stream, the last event of which has the given id, if any; false if the caller reads too slowly. Small parts are gathered while earlier ones wait. */
  readonly write: (run: Run, bytes: Buffer, lastEventId: string | null) => boolean
  /** Calls `resume` once when the caller has read what was buffered. */
  readonly onDrain: (resume: () => void) => void
  readonly endStream: (run: Run) => void
  /** Destroys the connection, by a reset if only its end marks the end of the response, so that a truncated response never looks complete. */
  readonly abort: () => void
  readonly hasStarted: () => boolean
  /** Whether all of the response has been written; it may not be delivered yet. */
  readonly hasEnded: () => boolean
}

/**
 * Creates the reply to a request.
 *
 * @param response - The HTTP response to write to.
 * @param requestId - Request id to include in responses.
 * @param protocol - Formats headers.
 * @param isDraining - Returns whether callers are asked to close their connections.
 * @param holding - Account of the bytes held for the call; null if they are not bounded.
 * @returns The reply.
 */
export function createReply (response: http.ServerResponse, requestId: string, protocol: callOptions.CallProtocol, isDraining: () => boolean, holding: createHeldBytes.CallHolding | null = null): Reply {
  const writer = rpc.createGatheredWriter(response)
  let passedOn: Run | null = null
  let lastEventId: string | null = null

  function mayPassOn (run: Run): boolean {
    return passedOn === null || run === passedOn || (lastEventId !== null && run.resumesAfter === lastEventId)
  }

  /** Makes a run the one that is passed on; breaks the stream off, and returns false, if it may not be. */
  function accept (run: Run): boolean {
    if (!mayPassOn(run)) {
      abort()
      return false
    }
    passedOn = run
    return true
  }

  function writeHead (status: number, headers: readonly string[]): void {
    response.sendDate = false
    if (isDraining()) response.shouldKeepAlive = false
    response.writeHead(status, headers as string[])
  }

  /** Writes the head of a response without a length: in chunks, so that an early end shows, whatever ends this process. Callers of HTTP/1.0, who know none, get the end of the connection. */
  function writeHeadWithoutLength (status: number, headers: readonly string[]): void {
    const isChunked = response.useChunkedEncodingByDefault
    if (!isChunked) response.shouldKeepAlive = false
    writeHead(status, headers)
    if (!isChunked) rpc.resetUnfinished(response)
  }

  function abort (): void {
    response.destroy()
  }

  function writeRefusalHead (status: number, reason: string, retryAfterMs: number | null): Buffer {
    const body = Buffer.from(`${reason}\n`)
    writeHead(status, [...protocol.formatGatewayAnswer(requestId, retryAfterMs), 'Content-Type', 'text/plain', 'Content-Length', String(body.length)])
    return body
  }

  /** Sends the whole response, and closes its connection only once the request has been read, or no more of it is read. */
  function endAfterRequest (body: Buffer): void {
    const { req: request } = response
    const timer = setTimeout(end, REFUSED_REQUEST_READ_MS)
    response.write(body)
    request.once('end', end)
    request.once('close', end)
    request.resume()

    function end (): void {
      clearTimeout(timer)
      response.end()
    }
  }

  /** Passes a large body to the operating system in parts, so that the progress of a caller that reads slowly is recorded. All of it is held until its end. */
  function endWithBody (body: Buffer): void {
    const { socket } = response
    if (holding === null || socket === null || body.length <= PART_BYTES) {
      response.end(body)
      noteUnread()
      return
    }
    // The head is passed on together with the first part.
    socket.cork()
    response.write(body.subarray(0, PART_BYTES), holding.noteRead)
    socket.uncork()
    // With this method, a socket would pass on all parts that wait as one.
    socket._writev = undefined
    response.once('close', () => { Reflect.deleteProperty(socket, '_writev') })
    for (let offset = PART_BYTES; offset < body.length; offset += PART_BYTES) response.write(body.subarray(offset, offset + PART_BYTES), holding.noteRead)
    response.end()
    if (response.writableLength > 0) holding.noteUnread(body.length)
  }

  if (holding !== null) {
    response.on('drain', () => {
      holding.noteUnread(0)
      if (writer.waitingBytes() > 0) noteUnread()
    })
    response.once('finish', holding.close)
    response.once('close', holding.close)
  }

  /** A response that is complete, or that the caller doesn't read as fast as it arrives, waits in memory. */
  function noteUnread (): void {
    holding?.noteUnread(writer.waitingBytes())
  }

  return {
    hasStarted: () => response.headersSent,
    hasEnded: () => response.writableEnded,
    refuse: (status, reason, retryAfterMs) => {
      if (response.headersSent || response.destroyed) return
      const body = writeRefusalHead(status, reason, retryAfterMs)
      if (response.shouldKeepAlive || response.req.complete) response.end(body)
      else endAfterRequest(body)
    },
    refuseUnread: (status, reason, retryAfterMs) => {
      if (response.headersSent || response.destroyed) return
      rpc.discardBody(response.req, response)
      // Without the permission that it waits for, a caller may send its body or not.
      if (response.req.headers.expect !== undefined) response.shouldKeepAlive = false
      response.end(writeRefusalHead(status, reason, retryAfterMs))
    },
    sendBuffered: (status, headers, body) => {
      if (response.destroyed) return
      writeHead(status, [...headers, 'Content-Length', String(body.length)])
      endWithBody(body)
    },
    mayPassOn,
    mayContinue: () => passedOn === null || lastEventId !== null,
    readLastEventId: () => lastEventId,
    beginStream: (run, status, headers) => {
      if (response.destroyed || !accept(run)) return
      writeHeadWithoutLength(status, headers)
    },
    write: (run, bytes, eventId) => {
      if (!accept(run)) return true
      const isRead = writer.write(bytes)
      lastEventId = eventId
      if (!isRead) noteUnread()
      return isRead
    },
    onDrain: (resume) => {
      writer.onDrain(() => {
        holding?.noteUnread(0)
        resume()
      })
    },
    endStream: (run) => {
      if (!accept(run)) return
      writer.end()
      noteUnread()
    },
    abort
  }
}
