/** Estimates how much longer a datagram was in transit than the fastest one of its sender, as behind a full link. */

interface ClockDifference {
  readonly differenceMs: number
  readonly sentAt: number
}

/** Delay of a datagram, in milliseconds beyond the fastest one of its sender. */
export interface Delay {
  readonly delayMs: number
  /** Whether the sender was known and has restarted since. */
  readonly isRestarted: boolean
}

/** A sender whose clock went back by more has restarted; less may be two datagrams that arrived out of order. */
const RESTART_CLOCK_DROP_MS = 1000
/**
 * No datagram is in transit, or unread at a frozen receiver, for longer; one that seems to be was sent by a restarted daemon, whose clock starts
 * again. Without this limit, a receiver that got only the first datagram of one run would count the first datagram of the next run as delayed by
 * the whole run in between, and the versions in it as that old.
 */
const MAXIMUM_DELAY_MS = 10_000

/** Compares the clocks of senders with the own clock. */
export interface DelayEstimator {
  /** Returns the delay of a datagram, from its sender, the sender's clock at sending and the own clock, both in milliseconds. */
  readonly measure: (host: string, sentAt: number, now: number) => Delay
  /** Returns by how many milliseconds the sender's clock is ahead of its known difference, or null if none is known. Records nothing. */
  readonly compareClock: (host: string, sentAt: number, now: number) => number | null
}

/**
 * Creates the estimator. Clocks of two processes differ by a constant: the smallest difference seen is taken for that of an idle link.
 *
 * @returns The estimator.
 */
export function createDelayEstimator (): DelayEstimator {
  const smallestDifferences = new Map<string, ClockDifference>()
  return {
    compareClock: (host, sentAt, now) => {
      const known = smallestDifferences.get(host)
      return known === undefined ? null : known.differenceMs - (now - sentAt)
    },
    measure: (host, sentAt, now) => {
      const differenceMs = now - sentAt
      const known = smallestDifferences.get(host)
      const isRestarted = known !== undefined && (sentAt < known.sentAt - RESTART_CLOCK_DROP_MS || differenceMs - known.differenceMs > MAXIMUM_DELAY_MS)
      const isFirst = known === undefined || isRestarted
      const smallestMs = isFirst ? differenceMs : Math.min(known.differenceMs, differenceMs)
      smallestDifferences.set(host, { differenceMs: smallestMs, sentAt: isFirst ? sentAt : Math.max(sentAt, known.sentAt) })
      return { delayMs: differenceMs - smallestMs, isRestarted }
    }
  }
}
