/** Closes the connection of a request that is not read to its end. */
import type * as http from 'node:http'

/**
 * Closes a connection once the response is handed to the operating system, without reading or discarding the rest of the request.
 *
 * @param request - The request.
 * @param response - Its response, whose head isn't sent yet.
 */
export function closeAfterResponse (request: http.IncomingMessage, response: http.ServerResponse): void {
  response.shouldKeepAlive = false
  response.once('finish', () => { request.destroy() })
}
