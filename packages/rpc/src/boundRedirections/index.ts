/** Limits the bodies of redirections that got follows. */
import type * as http from 'node:http'
import * as types from '@switchridge/types'

/** A page that names the new address has a few hundred bytes. */
const MAXIMUM_REDIRECTION_BYTES = 64 * types.BYTES_IN_KIBIBYTE
const FIRST_REDIRECTION_STATUS = 300
const FIRST_ERROR_STATUS = 400

/** A request of got, or what stands for it. */
export interface RedirectedRequest {
  readonly on: (event: 'request', listener: (outgoing: http.ClientRequest) => void) => unknown
}

/**
 * Closes the connection of a redirection that brings more than 64 KiB with its framing. Got discards its body while it sends the next request, without any limit of bytes or
 * time.
 *
 * @param request - A request that got has not sent yet.
 */
export function boundRedirections (request: RedirectedRequest): void {
  request.on('request', (outgoing) => { outgoing.once('response', boundRedirection) })
}

function boundRedirection (response: http.IncomingMessage): void {
  const { statusCode = 0, headers, socket } = response
  if (statusCode < FIRST_REDIRECTION_STATUS || statusCode >= FIRST_ERROR_STATUS || headers.location === undefined) return
  const bytesBefore = socket.bytesRead
  response.on('data', () => { if (!response.complete && socket.bytesRead - bytesBefore > MAXIMUM_REDIRECTION_BYTES) response.destroy() })
}
