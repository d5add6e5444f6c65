/** Discards the body of a request that is refused by its head. */
import type * as http from 'node:http'
import * as types from '@switchridge/types'
import * as paceMessage from '../paceMessage/index.js'

/** Bytes that a server discards of the body of a request without a valid key or identity. */
export const MAXIMUM_REFUSED_BODY_BYTES = 64 * types.BYTES_IN_KIBIBYTE
/** Framing of the shortest chunk: its length, and two ends of lines. */
const CHUNK_FRAMING_BYTES = 5

/**
 * Discards the body of a request within a bound; the connection stays open if it ends there. Otherwise it is closed after the response, at once if the request states a longer body.
 *
 * @param request - A request whose body has not begun to be read.
 * @param response - Its response, whose head is not sent yet, and which is to be ended at once.
 * @param maximumBytes - Bytes of the body that are discarded, with the framing of its chunks.
 */
export function discardBody (request: http.IncomingMessage, response: http.ServerResponse, maximumBytes = MAXIMUM_REFUSED_BODY_BYTES): void {
  const { headers, socket } = request
  if (request.complete) return
  if (Number(headers['content-length'] ?? 0) > maximumBytes) response.shouldKeepAlive = false
  if (headers['transfer-encoding'] === undefined) return
  const pacer = paceMessage.paceMessage(request)
  let bytes = 0
  request.on('data', (part: Buffer) => {
    const wasWithin = bytes <= maximumBytes
    bytes += part.length + CHUNK_FRAMING_BYTES
    if (!wasWithin || bytes <= maximumBytes) return
    pacer.hold()
    if (response.writableFinished) socket.destroySoon()
    else response.once('finish', () => { socket.destroySoon() })
  })
}
