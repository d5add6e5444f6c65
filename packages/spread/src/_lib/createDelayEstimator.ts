/** Estimates how much longer a datagram was in transit than the fastest one of its sender, as behind a full link. */

interface ClockDifference {
  readonly difference: number
  readonly sentAt: number
}

/** The transit of a datagram. */
export interface Delay {
  readonly delayMs: number
  /** Whether the sender was known and has restarted since. */
  readonly isRestarted: boolean
}

/** A sender whose clock went back by more has restarted; less may be two datagrams that arrived out of order. */
const RESTART_CLOCK_DROP_MS = 1000
/**
 * No datagram is in transit, or lies at a frozen receiver, for longer; one that seems to be was sent by a restarted daemon, whose clock begins
 * anew. Without this limit, a receiver that had heard only the first datagram before a restart takes the first one after it for delayed
 * by the whole run in between, and the versions that it names for as old.
 */
const MAXIMUM_DELAY_MS = 10_000

/** Compares the clocks of senders with the own clock. */
export interface DelayEstimator {
  /** Returns the delay of a datagram, from its sender, the sender's clock at sending and the own clock. */
  readonly measure: (host: string, sentAt: number, now: number) => Delay
  /** Returns by how much the sender's clock is ahead of what was known of it, or null if nothing was known. Records nothing. */
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
      return known === undefined ? null : known.difference - (now - sentAt)
    },
    measure: (host, sentAt, now) => {
      const difference = now - sentAt
      const known = smallestDifferences.get(host)
      const isRestarted = known !== undefined && (sentAt < known.sentAt - RESTART_CLOCK_DROP_MS || difference - known.difference > MAXIMUM_DELAY_MS)
      const isFirst = known === undefined || isRestarted
      const base = isFirst ? difference : Math.min(known.difference, difference)
      smallestDifferences.set(host, { difference: base, sentAt: isFirst ? sentAt : Math.max(sentAt, known.sentAt) })
      return { delayMs: difference - base, isRestarted }
    }
  }
}
