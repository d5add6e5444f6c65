/** Tells whether a response ended inside a server-sent event. */
import type * as http from 'node:http'

const EVENT_STREAM_TYPE = 'text/event-stream'
/** An event ends with an empty line. */
const EVENT_END = /\n\r?\n$/
const LONGEST_EVENT_END_BYTES = 3

/**
 * Watches the end of a response. Without framing, the end of an event is all that tells the end of a stream of events from the end of its server.
 *
 * @param response - The response, of whose body nothing has been read.
 * @returns A function that tells whether what has arrived ends inside an event; false for a response that is no stream of events.
 */
export function watchEventEnd (response: http.IncomingMessage): () => boolean {
  if (response.headers['content-type']?.startsWith(EVENT_STREAM_TYPE) !== true) return () => false
  let last = ''
  response.on('data', (bytes: Buffer) => {
    last = (last + bytes.subarray(-LONGEST_EVENT_END_BYTES).toString('latin1')).slice(-LONGEST_EVENT_END_BYTES)
  })
  return () => last !== '' && !EVENT_END.test(last)
}
