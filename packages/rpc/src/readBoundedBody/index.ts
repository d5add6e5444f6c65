/** Reads the complete body of an HTTP message, within bounds of its size, its framing, the memory held for it and the work in a turn of the event loop. */
import type * as http from 'node:http'
import * as createByteCollector from '../createByteCollector/index.js'
import * as createFramingBound from '../createFramingBound/index.js'
import * as paceMessage from '../paceMessage/index.js'

/** A body, or why there is none. */
export type BodyOutcome =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** What frames the body exceeds the payload by more than so many bytes. The rest of the message isn't read: its connection has to be closed. */
  | { readonly kind: 'over-framed', readonly allowedBytes: number }
  /** `mayHold` has refused to hold more of it. */
  | { readonly kind: 'not-held' }
  /** The connection ended before the body did. */
  | { readonly kind: 'broken', readonly error: Error }

/** Callbacks of {@link readBoundedBody}. */
export interface BodyReadOptions {
  /** Called for each part with the memory in bytes that is needed for the body so far; returns whether it may be held. */
  readonly mayHold?: (heldBytes: number) => boolean
  /** Called with the size of each part. */
  readonly onBytes?: (bytes: number) => void
}

/**
 * Reads a body into storage of its own. The rest of a body that is too large or not held is read and discarded, unless its connection is closed.
 *
 * @param message - A request or a response whose body isn't read yet.
 * @param maximumBytes - Size of the largest body that is accepted, and of the memory that is held for it. A longer one is refused by its length, if it has one.
 * @param options - Callbacks.
 * @returns The body, or why there is none; never rejects.
 */
export async function readBoundedBody (message: createFramingBound.FramedMessage, maximumBytes: number, { mayHold, onBytes }: BodyReadOptions = {}): Promise<BodyOutcome> {
  return await new Promise((resolve) => {
    const statedBytes = Number(message.headers?.['content-length'] ?? Infinity)
    const collector = createByteCollector.createByteCollector(Math.min(maximumBytes, statedBytes), mayHold)
    const framing = createFramingBound.createFramingBound(message, maximumBytes)
    let isRejected = false

    function reject (outcome: Exclude<BodyOutcome, { kind: 'whole' }>): void {
      isRejected = true
      collector.release()
      resolve(outcome)
    }

    function rejectFraming (): void {
      if (isRejected) message.destroy()
      else message.pause()
      reject({ kind: 'over-framed', allowedBytes: framing.allowedBytes })
    }

    function fail (error: Error): void {
      if (!isRejected) reject({ kind: 'broken', error })
    }

    message.on('data', (part: Buffer) => {
      onBytes?.(part.length)
      if (!framing.accept(part.length)) {
        rejectFraming()
        return
      }
      if (isRejected) return
      const collected = collector.append(part)
      if (collected !== 'collected') reject({ kind: collected })
    })
    message.on('end', () => {
      if (isRejected) return
      if (message.complete === true) resolve({ kind: 'whole', body: collector.take() })
      else fail(new Error('the connection ended before the body'))
    })
    message.on('error', fail)
    message.on('close', () => { fail(new Error('the connection was closed before the end of the body')) })
    if (message.socket !== undefined) paceMessage.paceMessage(message as http.IncomingMessage)
    if (statedBytes > maximumBytes && statedBytes !== Infinity) reject({ kind: 'too-large' })
    if (message.readableEnded || message.destroyed) fail(message.errored ?? new Error('the connection was closed before the body was read'))
  })
}
