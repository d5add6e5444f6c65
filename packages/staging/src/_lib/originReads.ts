/** Reads the pieces of one version from the origin, one at a time, with exponential backoff while it refuses. */
import * as types from '@switchridge/types'
import type * as createReceiveWindow from '../createReceiveWindow/index.js'
import type * as staging from '../types/index.js'

/** Options of {@link createOriginReads}. */
export interface OriginReadOptions {
  readonly id: staging.VersionId
  readonly origin: staging.WeightOrigin
  /** Returns the number of agents that read from the origin. */
  readonly countReaders: () => number
  readonly window: createReceiveWindow.ReceiveWindow
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
  readonly onRead: (piece: number, bytes: Buffer) => void
  readonly onFailure: (piece: number, error: types.UnavailableError) => void
  /** Called when a read has ended, successfully or not. */
  readonly onEnd: () => void
}

/** Reads from the origin that are in progress. */
export interface OriginReads {
  readonly mayBegin: () => boolean
  readonly begin: (piece: number) => void
  readonly isReading: (piece: number) => boolean
  /** Whether the origin failed for a piece so often that peers should be asked for it, too. */
  readonly isFailing: (piece: number) => boolean
  /** Monotonic time in milliseconds of the last failed read, -Infinity if none failed. */
  readonly lastFailureAt: () => number
}

const BACKOFF_INITIAL_MS = 60
/**
 * Limit of the backoff after consecutive failed reads from the origin, per agent that reads: all of them together then retry
 * equally often in a fleet of any size, and in a small fleet an origin that recovers is read again soon. Counting agents that don't read made 30 readers
 * among 91 agents pause for up to 1.8 s after an outage.
 */
const BACKOFF_PER_READER_MS = 20
const BACKOFF_CAP_MINIMUM_MS = 200
const BACKOFF_CAP_MAXIMUM_MS = 3000
/** A pause is randomized between this fraction and all of it, so that agents refused together don't retry together. */
const JITTER_MINIMUM_FRACTION = 0.5
/** A failed read that took longer than this was not refused: the connection hung. */
const HANG_MS = 250
/**
 * The next read after one that hung is aborted when no byte has arrived after this time, per agent that reads, so that an origin that recovers is read again
 * soon. An origin that is available sends the first byte within it even if all agents that read have asked it at once, and pieces take 25 ms each.
 */
const FIRST_BYTE_PER_READER_MS = 25
const FIRST_BYTE_MINIMUM_MS = 300
/**
 * Concurrent reads of an agent from the origin. All agents share its link and its limit of connections: with more reads each,
 * every first piece arrives later, and until then no agent has a piece to provide.
 */
const CONCURRENT_READS = 1
/** Number of failed reads from the origin after which peers are asked for a piece, too. */
const FAILURES_BEFORE_PEERS = 2

/**
 * Creates the reads of one version; none is started.
 *
 * @param options - Origin, link and clock.
 * @returns The reads.
 */
export function createOriginReads (options: OriginReadOptions): OriginReads {
  const reading = new Set<number>()
  const failures = new Map<number, number>()
  let consecutiveFailures = 0
  let pausedUntil = -Infinity
  let lastFailureAt = -Infinity
  let hasHung = false

  async function read (piece: number): Promise<void> {
    reading.add(piece)
    const endRequest = options.window.request()
    const startedAt = options.now()
    const answered = await options.origin.readPiece(options.id, piece, hasHung ? Math.max(FIRST_BYTE_MINIMUM_MS, FIRST_BYTE_PER_READER_MS * options.countReaders()) : undefined)
    endRequest()
    reading.delete(piece)
    hasHung = !answered.ok && options.now() - startedAt > HANG_MS
    if (answered.ok) {
      consecutiveFailures = 0
      options.onRead(piece, answered.value)
    } else {
      noteFailure(piece)
      options.onFailure(piece, answered.error)
    }
    options.onEnd()
  }

  /** Backs off further with each failure, for all pieces: the origin refuses connections beyond its limit. */
  function noteFailure (piece: number): void {
    failures.set(piece, (failures.get(piece) ?? 0) + 1)
    consecutiveFailures += 1
    lastFailureAt = options.now()
    const maximumMs = Math.min(BACKOFF_CAP_MAXIMUM_MS, Math.max(BACKOFF_CAP_MINIMUM_MS, BACKOFF_PER_READER_MS * options.countReaders()))
    const pauseMs = Math.min(maximumMs, BACKOFF_INITIAL_MS * 2 ** (consecutiveFailures - 1))
    pausedUntil = options.now() + types.jitter(pauseMs, JITTER_MINIMUM_FRACTION, options.random())
  }

  return {
    mayBegin: () => reading.size < CONCURRENT_READS && options.window.hasRoom() && options.now() >= pausedUntil,
    begin: (piece) => { void read(piece) },
    isReading: (piece) => reading.has(piece),
    isFailing: (piece) => (failures.get(piece) ?? 0) >= FAILURES_BEFORE_PEERS,
    lastFailureAt: () => lastFailureAt
  }
}
