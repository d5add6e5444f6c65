/** Reads the complete body of an HTTP message, up to a size limit. */
import type * as http from 'node:http'

/** A body, or why there is none. */
export type BodyOutcome =
  | { readonly kind: 'whole', readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** The connection ended before the body did. */
  | { readonly kind: 'broken' }

/**
 * Reads a body.
 *
 * @param message - A request or a response.
 * @param maximumBytes - Size of the largest body that is accepted.
 * @returns The body, or why there is none; never rejects.
 */
export async function readBody (message: http.IncomingMessage, maximumBytes: number): Promise<BodyOutcome> {
  return await new Promise((resolve) => {
    const parts: Buffer[] = []
    let size = 0
    message.on('data', (part: Buffer) => {
      size += part.length
      if (size > maximumBytes) resolve({ kind: 'too-large' })
      else parts.push(part)
    })
    message.on('end', () => { resolve(message.complete ? { kind: 'whole', body: Buffer.concat(parts) } : { kind: 'broken' }) })
    message.on('error', () => { resolve({ kind: 'broken' }) })
    message.on('close', () => { resolve({ kind: 'broken' }) })
  })
}
