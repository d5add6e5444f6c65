/** Tells an orderly end of a connection from a reset. */
import type * as net from 'node:net'

/**
 * Watches how a connection ends. Only an orderly end ends a response without framing, but Node.js ends such a response on a reset, too.
 *
 * @param socket - The connection, whose end has not been read yet.
 * @returns A function that tells whether the connection has ended in an orderly way.
 */
export function watchOrderlyEnd (socket: net.Socket): () => boolean {
  let hasEnded = false
  let hasFailed = false
  socket.prependListener('error', () => { hasFailed = true })
  socket.prependListener('end', () => { hasEnded = isPeerKnown(socket) })
  return () => hasEnded && !hasFailed
}

/**
 * Whether a connection that ended still knows its peer. Node.js reports a reset that arrives together with data as an orderly end, but the system only
 * keeps the peer's address after an orderly one. The address must not have been read before, because the socket caches it.
 */
function isPeerKnown (socket: net.Socket): boolean {
  return socket.remoteAddress !== undefined
}
