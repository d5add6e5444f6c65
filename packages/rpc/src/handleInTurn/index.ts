/** The turn of a pipelined request on its connection. */
import type * as http from 'node:http'

/**
 * Handles a request once the responses before it on its connection are sent, since one of them may close the connection.
 *
 * @param response - The response to the request.
 * @param handle - Handles the request; not called if the connection closes before.
 */
export function handleInTurn (response: http.ServerResponse, handle: () => void): void {
  if (response.socket === null) response.once('socket', handle)
  else handle()
}
