/** Limits the work that the body of one message causes in a turn of the event loop. */
import type * as http from 'node:http'
import type * as stream from 'node:stream'
import * as createTurnQueue from '../_lib/createTurnQueue.js'

/** Controls the reading of a paced message. */
export interface MessagePacer {
  /**
   * Stops reading, for a consumer that can take no more. What one read of the socket has brought, up to 64 KiB, is still emitted, since Node.js parses a whole read at
   * once: buffered in the message, each small chunk would cost hundreds of bytes.
   */
  readonly hold: () => void
  /** Reads on after {@link hold}, in turn with the messages that are paced. */
  readonly release: () => void
}

/** Work of one message in a turn, in units of the turn queue: a quarter of a millisecond, or one read of large chunks. */
const UNITS_PER_TURN = 256

/** The turn of the event loop, as far as messages are concerned: it ends in its check phase. */
let turn = 0
let isTurnEndScheduled = false

function readTurn (): number {
  if (!isTurnEndScheduled) {
    isTurnEndScheduled = true
    setImmediate(() => {
      isTurnEndScheduled = false
      turn += 1
    })
  }
  return turn
}

/**
 * Paces the body of a message. When its chunks and bytes in a turn exceed a bound, its socket is read on in a later turn, in turn with the other messages that are
 * paced. The least step is one read of the socket, which may hold 11,000 chunks. The message begins to flow unless it is paused, so its consumer should be added in
 * the same turn.
 *
 * @param message - A request or response whose body has not begun to be read.
 * @returns Controls for a consumer that applies backpressure; without effect once the message has ended or closed.
 */
export function paceMessage (message: http.IncomingMessage): MessagePacer {
  // A message that has been received completely may have no socket any more.
  const source: stream.Readable = (message.socket as stream.Readable | null | undefined) ?? message
  let countedTurn = -1
  let units = 0
  let isHeld = false
  let isGated = false
  let hasEnded = false
  let removeFromQueue: (() => void) | null = null

  function count (bytes: Buffer): void {
    const now = readTurn()
    if (now !== countedTurn) {
      countedTurn = now
      units = 0
    }
    units += 1 + Math.floor(bytes.length / createTurnQueue.UNIT_BYTES)
    if (units > UNITS_PER_TURN && !isHeld) waitInQueue()
  }

  function waitInQueue (): void {
    if (hasEnded || removeFromQueue !== null) return
    removeFromQueue = createTurnQueue.turnQueue.add({ estimateUnits: () => units, run: endWait })
    update()
  }

  function leaveQueue (): void {
    removeFromQueue?.()
    removeFromQueue = null
  }

  function endWait (): void {
    removeFromQueue = null
    // What is read now belongs to the next turn.
    countedTurn = -1
    update()
  }

  function update (): void {
    const mustGate = !hasEnded && (isHeld || removeFromQueue !== null)
    if (mustGate === isGated) return
    isGated = mustGate
    if (isGated) {
      source.on('resume', keepPaused)
      source.pause()
    } else {
      source.off('resume', keepPaused)
      source.resume()
    }
  }

  /** A message resumes its socket whenever its own buffer has room. */
  function keepPaused (): void {
    source.pause()
  }

  function stop (): void {
    hasEnded = true
    leaveQueue()
    update()
  }

  message.on('data', count)
  message.once('end', stop)
  message.once('close', stop)
  return {
    hold: () => {
      isHeld = true
      leaveQueue()
      update()
    },
    release: () => {
      if (!isHeld) return
      isHeld = false
      waitInQueue()
      update()
    }
  }
}
