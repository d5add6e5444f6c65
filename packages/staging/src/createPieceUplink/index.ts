/** Sends pieces over a link that is shared with an engine's event streams, in slices small enough for events to pass between them. */
import * as transfer from '@switchridge/transfer'
import * as types from '@switchridge/types'

/** The sending direction of an agent's link. */
export interface PieceUplink {
  /** Splits a piece into slices and yields each one when the link has capacity for it; pieces are sent one after the other, so that each is complete as early as possible. */
  readonly send: (bytes: Buffer) => AsyncGenerator<Buffer>
  /** Milliseconds until all queued pieces are sent. */
  readonly backlogMs: () => number
}

/**
 * Bytes passed to the link at a time. An event that is sent meanwhile waits for one slice; behind two complete pieces on a slow link it would be late.
 */
export const SLICE_BYTES = 4096
/** A peer that receives its piece this much later than the link allows no longer delays the pieces after it. */
const STALL_TIMEOUT_MS = 300

/**
 * Creates the sending direction of a link.
 *
 * @param bytesPerSecond - Rate of the link.
 * @param share - Returns the fraction of the link, up to 1, that pieces may currently use.
 * @param now - Monotonic clock in milliseconds.
 * @returns The sending direction, with an empty queue.
 */
export function createPieceUplink (bytesPerSecond: number, share: () => number, now: () => number): PieceUplink {
  const pacer = transfer.createLinkPacer(bytesPerSecond, now)
  let queuedBytes = 0
  /** Resolves when all earlier pieces have been passed to the link. */
  let previous: Promise<void> = Promise.resolve()

  /** A piece counts only while its slices are consumed: a peer that disconnects before or during the transfer must not leave the backlog permanently full. */
  async function * send (bytes: Buffer): AsyncGenerator<Buffer> {
    let left = bytes.length
    const before = previous
    const maximumWaitMs = backlogMs() + STALL_TIMEOUT_MS
    let finish: () => void = () => {}
    previous = new Promise<void>((resolve) => { finish = resolve })
    queuedBytes += left
    try {
      await Promise.race([before, types.delay(maximumWaitMs)])
      for (let offset = 0; offset < bytes.length; offset += SLICE_BYTES) {
        const slice = bytes.subarray(offset, offset + SLICE_BYTES)
        await pacer.waitToSend(slice.length / share())
        left -= slice.length
        queuedBytes -= slice.length
        yield slice
      }
    } finally {
      queuedBytes -= left
      void before.then(finish)
    }
  }

  function backlogMs (): number {
    return queuedBytes * types.MILLISECONDS_IN_SECOND / (bytesPerSecond * share())
  }

  return { send, backlogMs }
}
