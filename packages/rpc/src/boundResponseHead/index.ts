/** Limits the bytes that precede the body of a response. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as types from '@switchridge/types'
import * as openRequest from '../openRequest/index.js'

/** Four heads of the largest size that Node.js accepts: interim responses (RFC 9110) may precede the final one, and Node.js doesn't limit their number. */
const MAXIMUM_HEAD_BYTES = 64 * types.BYTES_IN_KIBIBYTE

/**
 * Destroys a request with a {@link openRequest.ResponseTooLargeError} when the head of its response and the interim responses before it exceed 64 KiB together.
 *
 * @param request - A request that has no socket yet.
 */
export function boundResponseHead (request: http.ClientRequest): void {
  request.once('socket', (socket: net.Socket) => {
    let bytes = 0
    let isOver = false

    function count (chunk: Buffer): void {
      // The chunk that completes the head may hold a part of the body, too.
      if (isOver) return
      bytes += chunk.length
      if (bytes > MAXIMUM_HEAD_BYTES) request.destroy(new openRequest.ResponseTooLargeError('head', MAXIMUM_HEAD_BYTES))
    }

    function stop (): void {
      isOver = true
      socket.off('data', count)
    }

    socket.on('data', count)
    request.prependOnceListener('response', stop)
    request.once('close', stop)
  })
}
