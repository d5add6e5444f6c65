/** Breaks off responses whose end is that of their connection so that they never look complete. */
import type * as http from 'node:http'

/**
 * Makes a response without framing end by a reset of its connection if it is destroyed, or its caller shuts down its sending side, before it is complete: an orderly end would mark
 * its end.
 *
 * @param response - The response; nothing of its body has been written.
 */
export function resetUnfinished (response: http.ServerResponse): void {
  const destroy = response.destroy.bind(response)
  response.destroy = (error) => {
    response.socket?.resetAndDestroy()
    return destroy(error)
  }
  // A server ends the connection in an orderly way when the caller shuts down its sending side.
  response.socket?.prependOnceListener('end', () => { if (!response.writableEnded) response.destroy() })
}
