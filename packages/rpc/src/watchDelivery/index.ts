/** Tells how a response ended for its peer. */
import type * as http from 'node:http'

/** With the whole response, because the peer closed the connection, or because this process did. */
export type Delivery = 'delivered' | 'left' | 'cut'

/**
 * Watches a response until it is closed.
 *
 * @param response - The response, of which nothing was sent yet.
 * @param onClose - Called with how it ended.
 */
export function watchDelivery (response: http.ServerResponse, onClose: (delivery: Delivery) => void): void {
  let isDelivered = false
  // Node.js also finishes a response whose connection breaks before all of it was sent.
  response.once('finish', () => { isDelivered = !response.req.socket.destroyed })
  response.once('close', () => { onClose(isDelivered ? 'delivered' : isClosedByPeer(response) ? 'left' : 'cut') })
}

function isClosedByPeer ({ req: { socket } }: http.ServerResponse): boolean {
  return socket.readableEnded || socket.errored !== null
}
