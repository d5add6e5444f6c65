/** Limits what frames the body of an HTTP message beside its payload. */
import type * as http from 'node:http'
import type * as stream from 'node:stream'
import * as types from '@switchridge/types'

/** A request or a response, or a simulated one: without a connection, it has no framing. */
export type FramedMessage = stream.Readable & Partial<Pick<http.IncomingMessage, 'headers' | 'complete' | 'socket'>>

/** The framing of one message. */
export interface FramingBound {
  /** Records payload that has been read of the message; returns false once its framing exceeds the bound. Called for each part, in the order of arrival. */
  readonly accept: (payloadBytes: number) => boolean
  /** By how many bytes the framing may exceed the payload. */
  readonly allowedBytes: number
}

/** Node.js reads so much of a connection at a time; the payload in it that isn't parsed yet can't be told from framing. */
const READ_BYTES = 64 * types.BYTES_IN_KIBIBYTE
/** What frames a body beyond its payload, such as long chunk extensions, or chunks of a few bytes each. */
const MAXIMUM_SURPLUS_BYTES = 64 * types.BYTES_IN_KIBIBYTE
/** A byte in a chunk of its own: a line with its size, the byte and the end of its line. */
const CHUNK_BYTES_PER_BYTE = 6

/**
 * Creates the bound. Node.js limits the extensions of one chunk, but neither those of all chunks together nor the number of chunks, each of which costs memory and work
 * however small it is. Chunks of a few bytes more than their framing may go on for ever; after them, the framing may exceed the payload by a fixed number of bytes again.
 * Bytes before the body and, once the message is complete, after it are not counted, and of a TLS connection only what is decrypted.
 *
 * @param message - A request or a response whose body isn't read yet.
 * @param maximumBodyBytes - Largest accepted body; one that is shorter than the fixed number may come in chunks of one byte.
 * @returns The bound.
 */
export function createFramingBound (message: FramedMessage, maximumBodyBytes = Infinity): FramingBound {
  const allowedBytes = MAXIMUM_SURPLUS_BYTES + Math.min(READ_BYTES, CHUNK_BYTES_PER_BYTE * maximumBodyBytes)
  const { socket } = message
  const bytesBefore = socket === undefined ? 0 : countTaken(socket)
  let payloadBytes = 0
  let leastSurplusBytes = 0

  return {
    allowedBytes,
    accept: (bytes) => {
      payloadBytes += bytes
      if (message.complete === true || socket === undefined) return true
      // What is parsed and not read yet is payload, too.
      const framingBytes = countTaken(socket) - bytesBefore - payloadBytes - message.readableLength
      const surplusBytes = framingBytes - payloadBytes - message.readableLength
      leastSurplusBytes = Math.min(leastSurplusBytes, surplusBytes)
      return surplusBytes - leastSurplusBytes <= allowedBytes
    }
  }
}

/** Bytes that the parser has been given; what waits in a paused socket is not among them. */
function countTaken ({ bytesRead, readableLength }: FramedMessage['socket'] & object): number {
  return bytesRead - readableLength
}
