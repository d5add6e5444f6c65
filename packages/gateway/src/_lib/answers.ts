/** Writes the answers of a call: a back end's, or one of the gateway's own. */
import type * as http from 'node:http'
import type * as callOptions from './callOptions.js'

/** The answer to one request. */
export interface Reply {
  /** Ends with an answer of the gateway's own; `retryAfterMs` tells when to come back. */
  readonly refuse: (status: number, reason: string, retryAfterMs: number | null) => void
  /** Sends a back end's whole answer; one that did not tell its own end does not here either. */
  readonly sendWhole: (status: number, headers: readonly string[], body: Buffer, isFramed: boolean) => void
  readonly beginStream: (status: number, headers: readonly string[], isFramed: boolean) => void
  /** Sends bytes of a stream; false when the caller reads too slowly. */
  readonly write: (bytes: Buffer) => boolean
  readonly onDrain: (resume: () => void) => void
  readonly endStream: () => void
  /** Breaks the connection, so that a short answer never looks complete. */
  readonly breakOff: () => void
  readonly hasBegun: () => boolean
}

/**
 * Creates the reply to a request.
 *
 * @param response - Where it is written.
 * @param requestId - Id that answers give back.
 * @param protocol - Formats headers.
 * @param isLeaving - Whether the caller shall leave the connection.
 * @returns The reply.
 */
export function createReply (response: http.ServerResponse, requestId: string, protocol: callOptions.CallProtocol, isLeaving: () => boolean): Reply {
  function writeHead (status: number, headers: readonly string[]): void {
    response.sendDate = false
    if (isLeaving()) response.shouldKeepAlive = false
    response.writeHead(status, headers as string[])
  }

  /** The answer ends with its connection, without a length and without chunks. */
  function leaveUnframed (): void {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
  }

  return {
    hasBegun: () => response.headersSent,
    refuse: (status, reason, retryAfterMs) => {
      if (response.headersSent || response.destroyed) return
      const body = Buffer.from(`${reason}\n`)
      writeHead(status, [...protocol.formatOwnAnswer(requestId, retryAfterMs), 'Content-Type', 'text/plain', 'Content-Length', String(body.length)])
      response.end(body)
    },
    sendWhole: (status, headers, body, isFramed) => {
      if (response.destroyed) return
      if (!isFramed) leaveUnframed()
      writeHead(status, isFramed ? [...headers, 'Content-Length', String(body.length)] : headers)
      response.end(body)
    },
    beginStream: (status, headers, isFramed) => {
      if (response.destroyed) return
      if (!isFramed) leaveUnframed()
      writeHead(status, headers)
    },
    write: (bytes) => response.write(bytes),
    onDrain: (resume) => { response.once('drain', resume) },
    endStream: () => { response.end() },
    breakOff: () => { response.destroy() }
  }
}
