/** Limits the number of concurrent piece requests by the measured rate of the link, so that calls which share the link wait for a bounded time. */
import * as types from '@switchridge/types'

/** Options of {@link createReceiveWindow}. */
export interface ReceiveWindowOptions {
  readonly pieceBytes: number
  /** Nominal rate of the link. */
  readonly linkBytesPerSecond: number
  /** Returns the largest number of concurrent requests, whatever the link carries; not limited by default. */
  readonly maximumRequests?: () => number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Flow control for the receiving direction of a link. */
export interface ReceiveWindow {
  /** Whether one more piece may be requested. A link that delivers pieces about as fast as their senders send them is not limited. */
  readonly hasRoom: () => boolean
  /** Whether the number of requests is limited, because pieces would queue up at the link. */
  readonly isBounded: () => boolean
  /** Milliseconds that a limited link may still need for all requested pieces; 0 for a link that is not limited. */
  readonly queueMs: () => number
  /** Measured fraction of the nominal rate where it is far below it; 1 otherwise. */
  readonly linkFraction: () => number
  /** Records a request for a piece; call the returned function when it has been answered or has failed. */
  readonly request: () => () => void
  /** Records that a piece begins to arrive; call the returned function when it has arrived or has failed. */
  readonly beginArrival: () => () => void
  /** Records received bytes of pieces. */
  readonly recordBytes: (source: string, bytes: number) => void
}

/** Number of concurrent requests until the first pieces show the rate of the link. */
const INITIAL_PIECES = 6
/** A call on the link waits for at most one piece plus what the link carries in this time. */
const TARGET_DELAY_MS = 150
/** With this many pieces or more the window is not limited: most requests wait at their peers, and few pieces queue up at the link. */
const UNBOUNDED_PIECES = 3
/** Receiving time over which one sample of the rate is measured. */
const SAMPLE_MS = 50
/** The largest rate of the last samples is taken as that of the link, since some senders are slower than the link. */
const SAMPLES_KEPT = 4
/** Two sources must have sent pieces within this time, so that a single slow sender is not taken for a slow link. */
const SOURCE_RECENT_MS = 10_000
/** A link counts as slow below this fraction of its nominal rate. */
const NARROW_FRACTION = 0.4

/**
 * Creates the receive window of one link.
 *
 * @param options - The link and the clock.
 * @returns The window, without requests.
 */
export function createReceiveWindow ({ pieceBytes, linkBytesPerSecond, maximumRequests = () => Infinity, now }: ReceiveWindowOptions): ReceiveWindow {
  const nominalRate = linkBytesPerSecond / types.MILLISECONDS_IN_SECOND
  /** Samples in bytes per millisecond, the newest one last. */
  const rates: number[] = []
  /** The source of the last bytes, when they arrived, and when bytes of any other source last did. */
  let lastSource = ''
  let lastAt = -Infinity
  let previousSourceAt = -Infinity
  let requested = 0
  let arriving = 0
  let countedAt = 0
  let sampledBytes = 0
  let sampledMs = 0

  function accrueSampleTime (): void {
    if (arriving > 0) sampledMs += now() - countedAt
    countedAt = now()
  }

  function recordSource (source: string): void {
    if (source !== lastSource) previousSourceAt = lastAt
    lastSource = source
    lastAt = now()
  }

  /** Measured rate in bytes per millisecond, or null while there are too few samples or sources. */
  function readMeasuredRate (): number | null {
    return rates.length === 0 || now() - previousSourceAt > SOURCE_RECENT_MS ? null : Math.max(...rates)
  }

  function computeWindowSize (): number {
    const rate = readMeasuredRate()
    if (rate === null) return INITIAL_PIECES
    const pieces = 1 + Math.floor(rate * TARGET_DELAY_MS / pieceBytes)
    return pieces < UNBOUNDED_PIECES ? pieces : Infinity
  }

  function isBounded (): boolean {
    return computeWindowSize() < Infinity
  }

  return {
    hasRoom: () => requested < Math.min(computeWindowSize(), maximumRequests()),
    isBounded,
    queueMs: () => {
      const rate = readMeasuredRate()
      return rate === null || !isBounded() ? 0 : requested * pieceBytes / rate
    },
    request: () => {
      requested += 1
      return () => { requested -= 1 }
    },
    linkFraction: () => {
      const fraction = (readMeasuredRate() ?? nominalRate) / nominalRate
      return rates.length === SAMPLES_KEPT && fraction < NARROW_FRACTION ? fraction : 1
    },
    beginArrival: () => {
      accrueSampleTime()
      arriving += 1
      return () => {
        accrueSampleTime()
        arriving -= 1
      }
    },
    recordBytes: (source, bytes) => {
      if (arriving === 0) return
      accrueSampleTime()
      sampledBytes += bytes
      recordSource(source)
      if (sampledMs < SAMPLE_MS) return
      rates.push(sampledBytes / sampledMs)
      if (rates.length > SAMPLES_KEPT) rates.shift()
      sampledBytes = 0
      sampledMs = 0
    }
  }
}
