/** Passes what arrives over a connection to the parser of its HTTP server in parts, so that parsing can stop within what one read has brought. */
import type * as net from 'node:net'

/** Controls what a parser gets. */
export interface ParserFeed {
  /** Bytes that were passed to the parser, without the part that it is parsing. */
  readonly readBytes: () => number
  /** Whether bytes have arrived that the parser did not get yet. */
  readonly isBehind: () => boolean
  /** Goes on after `decide` has held the parser back. */
  readonly resume: () => void
  /** Discards what has not been parsed, and what arrives from now on. */
  readonly discard: () => void
}

/** What to do with the next part: pass it on, in a later turn of the event loop, or once {@link ParserFeed.resume} is called. */
export type FeedDecision = 'now' | 'later' | 'held'

/** Bytes that the parser gets at once if they may hold requests; the shortest requests have 25, so these are about 40 of them. */
export const PART_BYTES = 1024

/**
 * Takes over the reading of a connection. Node.js would parse all that a read has brought, up to 64 KiB, whatever becomes of the requests in it. What is not parsed stays in
 * the socket, which stops reading once its buffer is full. The server's own requests to pause and resume the socket are obeyed.
 *
 * @param socket - A connection that its HTTP server listens to, and of which nothing was read yet.
 * @param decide - Decides on the next part.
 * @param countBodyBytes - Returns how many of the next bytes can only be those of one body, which is passed on in larger parts.
 * @param schedule - Calls a function in a later turn of the event loop.
 * @returns The feed.
 */
export function createParserFeed (socket: net.Socket, decide: () => FeedDecision, countBodyBytes: () => number, schedule: (run: () => void) => void): ParserFeed {
  let readBytes = 0
  let isPaused = false
  let isFeeding = false
  let isScheduled = false
  let isResumed = false
  let isDiscarding = false

  function feed (): void {
    if (isFeeding || isScheduled || socket.destroyed) return
    isFeeding = true
    if (isDiscarding) discardRead()
    while (mayPassOn()) {
      const bytes = Math.min(socket.readableLength, Math.max(PART_BYTES, countBodyBytes()))
      socket.read(bytes)
      readBytes += bytes
    }
    isFeeding = false
    // Emits the end of the stream, and reads on.
    if (!isScheduled && socket.readableLength === 0) socket.read(0)
  }

  function mayPassOn (): boolean {
    if (isDiscarding || socket.destroyed || socket.readableLength === 0) return false
    if (isPaused || isPausedByServer(socket)) return false
    const decision = decide()
    if (decision === 'later') feedLater()
    return decision === 'now'
  }

  /** Discards what one read has brought; the next is made in a later turn. */
  function discardRead (): void {
    if (socket.readableLength === 0) return
    socket.read(socket.readableLength)
    feedLater()
  }

  function feedLater (): void {
    isScheduled = true
    schedule(() => {
      isScheduled = false
      feed()
    })
  }

  // While somebody listens to this event, only `read` emits `data`, and neither `pause` nor `resume` has an effect.
  socket.on('readable', feed)
  socket.pause = () => {
    isPaused = true
    return socket
  }
  socket.resume = () => {
    const wasPaused = isPaused
    isPaused = false
    if (isResumed) return socket
    isResumed = true
    process.nextTick(() => {
      isResumed = false
      if (wasPaused) socket.emit('resume')
      feed()
    })
    return socket
  }
  return {
    readBytes: () => readBytes,
    isBehind: () => socket.readableLength > 0,
    resume: feed,
    discard: () => {
      isDiscarding = true
      isScheduled = false
      socket.removeAllListeners('data')
      feed()
    }
  }
}

/** Whether the server takes no more requests until its peer has read answers; other code may have resumed the socket meanwhile, and the parser must get nothing. */
function isPausedByServer (socket: net.Socket): boolean {
  return (socket as net.Socket & { _paused?: boolean })._paused === true
}
