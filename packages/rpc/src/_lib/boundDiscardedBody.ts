/** Limits how much is read and discarded of a request that has been answered. */
import type * as http from 'node:http'

/** Four times the largest body that a caller may send, 4 MiB. */
const MAXIMUM_DISCARDED_BYTES = 16 * 1024 * 1024
const CHECK_INTERVAL_MS = 500

/**
 * Closes the connection of a request once more than 16 MiB of it have been discarded. Node.js discards the rest of an answered request, whatever its size, so that
 * the next request can be read.
 *
 * @param request - A request whose response has ended and whose body has not.
 */
export function boundDiscardedBody (request: http.IncomingMessage): void {
  const { socket } = request
  if (socket.destroyed) return
  const bytesBefore = socket.bytesRead
  const timer = setInterval(check, CHECK_INTERVAL_MS)
  request.once('close', () => { clearInterval(timer) })
  socket.once('close', () => { clearInterval(timer) })

  function check (): void {
    if (request.complete) clearInterval(timer)
    else if (socket.bytesRead - bytesBefore > MAXIMUM_DISCARDED_BYTES) socket.destroy()
  }
}
