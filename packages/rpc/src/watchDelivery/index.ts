/** Tells how a response ended for its peer. */
import type * as http from 'node:http'

/** With the whole response, because the peer closed the connection, or because this process did. */
export type Delivery = 'delivered' | 'left' | 'cut'

/**
 * Watches a response.
 *
 * @param response - The response, of which nothing was sent yet.
 * @returns A function that tells how the response ended; call it once the response is closed.
 */
export function watchDelivery (response: http.ServerResponse): () => Delivery {
  const { socket } = response.req
  let isDelivered = false
  let hasPeerEnded = false
  // Node.js also finishes a response whose connection breaks before all of it was sent.
  response.once('finish', () => { isDelivered = !socket.destroyed })
  socket.once('end', notePeerEnd)
  response.once('close', () => { socket.off('end', notePeerEnd) })

  function notePeerEnd (): void {
    hasPeerEnded = true
  }

  return () => {
    if (isDelivered) return 'delivered'
    return hasPeerEnded || socket.errored !== null ? 'left' : 'cut'
  }
}
