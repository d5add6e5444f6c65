/** Tells which responses end with their connection. */
import type * as http from 'node:http'

const STATUS_NO_CONTENT = 204
const STATUS_NOT_MODIFIED = 304

/**
 * Whether HTTP framing marks the end of a response. Without it the end of the connection ends the response; Node.js also ends it on a reset, but only an
 * orderly end of the connection counts, and even that may come too early.
 *
 * @param response - The response.
 * @param method - Method of its request.
 * @returns True if the response has a length or chunks, or can have no body.
 */
export function hasMessageFraming ({ headers, statusCode }: Pick<http.IncomingMessage, 'headers' | 'statusCode'>, method: string): boolean {
  if (headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined) return true
  return method === 'HEAD' || statusCode === STATUS_NO_CONTENT || statusCode === STATUS_NOT_MODIFIED
}
