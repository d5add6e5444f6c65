/** Estimates how much longer a datagram was in transit than the fastest one of its sender, as behind a full link. */
import type * as types from '@switchridge/types'
import type * as wire from './wire.js'

interface ClockDifference {
  readonly differenceMs: number
  readonly sentAt: number
  /** The process whose clock was compared; null if it is not known. */
  readonly incarnation: types.IncarnationId | null
}

/** Delay of a datagram, in milliseconds beyond the fastest one of its sender. */
export interface Delay {
  readonly delayMs: number
  /** Whether the sender was known and has restarted since. */
  readonly isRestarted: boolean
}

/** A sender that states no incarnation has restarted if its clock went back by more; less may be two datagrams that arrived out of order. */
const RESTART_CLOCK_DROP_MS = 1000
/**
 * No datagram is in transit, or unread at a frozen receiver, for longer; one that seems to be was sent by a restarted daemon, whose clock starts
 * again. Without this limit, a receiver that got only the first datagram of one run would count the first datagram of the next run as delayed by
 * the whole run in between, and the versions in it as that old.
 */
const MAXIMUM_DELAY_MS = 10_000

/** Compares the clocks of senders with the own clock. */
export interface DelayEstimator {
  /** Returns the delay of a datagram, from its sender's host, its origin, and the own clock in milliseconds. */
  readonly measure: (host: string, origin: wire.Origin, now: number) => Delay
  /** Returns by how many milliseconds the sender's clock is ahead of its known difference, or null if none is known of that process. Records nothing. */
  readonly compareClock: (host: string, origin: wire.Origin, now: number) => number | null
}

/**
 * Creates the estimator. Clocks of two processes differ by a constant: the smallest difference seen is taken for that of an idle link.
 *
 * @returns The estimator.
 */
export function createDelayEstimator (): DelayEstimator {
  const smallestDifferences = new Map<string, ClockDifference>()
  return {
    compareClock: (host, { sentAt, incarnation }, now) => {
      const known = smallestDifferences.get(host)
      return known === undefined || areDifferent(incarnation, known.incarnation) ? null : known.differenceMs - (now - sentAt)
    },
    measure: (host, { sentAt, incarnation }, now) => {
      const differenceMs = now - sentAt
      const known = smallestDifferences.get(host)
      const isRestarted = known !== undefined && (isOtherProcess({ sentAt, incarnation }, known) || differenceMs - known.differenceMs > MAXIMUM_DELAY_MS)
      const isFirst = known === undefined || isRestarted
      const smallestMs = isFirst ? differenceMs : Math.min(known.differenceMs, differenceMs)
      smallestDifferences.set(host, { differenceMs: smallestMs, sentAt: isFirst ? sentAt : Math.max(sentAt, known.sentAt), incarnation: incarnation ?? (isFirst ? null : known.incarnation) })
      return { delayMs: differenceMs - smallestMs, isRestarted }
    }
  }
}

/** Whether a datagram is from another process than the known one, by their incarnations, or by the clock if one of them is not known. */
function isOtherProcess ({ sentAt, incarnation }: wire.Origin, known: ClockDifference): boolean {
  if (incarnation === null || known.incarnation === null) return sentAt < known.sentAt - RESTART_CLOCK_DROP_MS
  return incarnation !== known.incarnation
}

function areDifferent (one: types.IncarnationId | null, other: types.IncarnationId | null): boolean {
  return one !== null && other !== null && one !== other
}
