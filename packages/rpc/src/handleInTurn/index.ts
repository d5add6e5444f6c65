/** The turn of a pipelined request on its connection. */
import type * as http from 'node:http'
import * as runInTurns from '../runInTurns/index.js'

/** Estimate of the work of a request, in the units of {@link runInTurns.runInTurns}. */
const REQUEST_UNITS = 512

/**
 * Handles a request once the responses before it on its connection are sent, since one of them may close the connection. One that has waited for them is handled in turn
 * with the work of other peers, so that a peer that sends requests ahead doesn't delay those of others.
 *
 * @param response - The response to the request.
 * @param handle - Handles the request; not called if the connection closes before.
 */
export function handleInTurn (response: http.ServerResponse, handle: () => void): void {
  if (response.socket !== null) {
    handle()
    return
  }
  response.once('socket', () => {
    runInTurns.runInTurns(() => { if (!response.destroyed && response.socket?.destroyed !== true) handle() }, REQUEST_UNITS)
  })
}
