/** Writes the body of a response so that many small parts cost no more memory than a few large ones. */
import type * as http from 'node:http'
import * as createByteCollector from '../createByteCollector/index.js'

/** The body of a response that is written part by part. */
export interface GatheredWriter {
  /**
   * Writes a part: at once if the system has taken those before, otherwise together with all that come until then. Returns false if the caller reads too slowly; a
   * part is taken nevertheless.
   */
  readonly write: (part: Buffer) => boolean
  /** Calls `resume` once when the system has taken everything after {@link write} has returned false. */
  readonly onDrain: (resume: () => void) => void
  /** Memory in bytes of what waits to be taken by the system. */
  readonly waitingBytes: () => number
  /** Ends the response after what was written. */
  readonly end: () => void
}

/**
 * Creates the writer of a response. Node.js keeps several objects for each write that the system has not taken, so that a queue of small writes takes many times
 * their bytes; here one write waits at a time.
 *
 * @param response - The response, whose head is written by others. Nothing else writes to its body.
 * @returns The writer.
 */
export function createGatheredWriter (response: http.ServerResponse): GatheredWriter {
  const gathered = createByteCollector.createByteCollector(Infinity)
  let isWriting = false
  let mustDrain = false
  let resumes: Array<() => void> = []

  function write (part: Buffer): boolean {
    if (response.destroyed) return true
    if (isWriting) {
      gathered.append(part)
      if (gathered.readLength() >= response.writableHighWaterMark) mustDrain = true
    } else {
      send(part)
    }
    return !mustDrain
  }

  function send (bytes: Buffer): void {
    isWriting = true
    if (!response.write(bytes, onWritten)) mustDrain = true
  }

  function onWritten (error?: Error | null): void {
    isWriting = false
    if (error != null || response.destroyed) gathered.release()
    else if (gathered.readLength() > 0) send(gathered.take())
    else if (mustDrain) drain()
  }

  function drain (): void {
    mustDrain = false
    const waiting = resumes
    resumes = []
    for (const resume of waiting) resume()
  }

  return {
    write,
    onDrain: (resume) => { resumes.push(resume) },
    waitingBytes: () => response.writableLength + gathered.readHeldBytes(),
    end: () => {
      if (gathered.readLength() > 0) response.end(gathered.take())
      else response.end()
    }
  }
}
