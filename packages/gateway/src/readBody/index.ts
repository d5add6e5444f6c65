/** Reads the complete body of an HTTP message, up to a size limit. */
import type * as http from 'node:http'

/** A body, or why there is none. */
export type BodyOutcome =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** `mayHold` has refused to hold more of it. */
  | { readonly kind: 'not-held' }
  /** The connection ended before the body did. */
  | { readonly kind: 'broken' }

/**
 * Reads a body.
 *
 * @param message - A request or a response.
 * @param maximumBytes - Size of the largest body that is accepted.
 * @param mayHold - Called with the number of bytes that have arrived; returns whether they may be kept.
 * @returns The body, or why there is none; never rejects.
 */
export async function readBody (message: http.IncomingMessage, maximumBytes: number, mayHold: (bytes: number) => boolean = () => true): Promise<BodyOutcome> {
  return await new Promise((resolve) => {
    const parts: Buffer[] = []
    let size = 0
    let isRejected = false

    /** The rest of a rejected body is read and discarded. */
    function reject (kind: 'too-large' | 'not-held'): void {
      isRejected = true
      parts.length = 0
      resolve({ kind })
    }

    message.on('data', (part: Buffer) => {
      if (isRejected) return
      size += part.length
      if (size > maximumBytes) reject('too-large')
      else if (!mayHold(size)) reject('not-held')
      else parts.push(part)
    })
    message.on('end', () => { resolve(message.complete ? { kind: 'whole', body: Buffer.concat(parts) } : { kind: 'broken' }) })
    message.on('error', () => { resolve({ kind: 'broken' }) })
    message.on('close', () => { resolve({ kind: 'broken' }) })
  })
}
