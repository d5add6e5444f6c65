/** How much longer than the fastest one before a datagram was under way; a link that is full delays it. */

interface ClockDifference {
  readonly difference: number
  readonly sentAt: number
}

/** A datagram's way. */
export interface Delay {
  readonly delayMs: number
  /** The sender was known and has started again since. */
  readonly isNewLife: boolean
}

/** A sender whose clock went back by more began anew; less may be two datagrams that overtook each other. */
const NEW_LIFE_MS = 1000
/**
 * No datagram is under way, or lies at a frozen receiver, for longer; one that seems to was sent by a new life, whose clock begins anew. Whoever
 * had heard only the first word of a life took the first word of the next one for a word that was under way for the whole life in
 * between, and all that it told of versions for as old.
 */
const MAXIMUM_DELAY_MS = 10_000

/** Compares the clocks of senders with the own one. */
export interface DelayMeasure {
  /** Takes the sender, its clock at the sending and the own clock; returns the delay. */
  readonly measure: (host: string, sentAt: number, now: number) => Delay
  /** By how much the sender's clock is ahead of what was known of it; null when nothing was. Changes nothing. */
  readonly compare: (host: string, sentAt: number, now: number) => number | null
}

/**
 * Creates the measure. Clocks of two processes differ by a constant: the smallest difference seen stands for an idle link.
 *
 * @returns The measure.
 */
export function createDelayMeasure (): DelayMeasure {
  const smallest = new Map<string, ClockDifference>()
  return {
    compare: (host, sentAt, now) => {
      const known = smallest.get(host)
      return known === undefined ? null : known.difference - (now - sentAt)
    },
    measure: (host, sentAt, now) => {
      const difference = now - sentAt
      const known = smallest.get(host)
      const isNewLife = known !== undefined && (sentAt < known.sentAt - NEW_LIFE_MS || difference - known.difference > MAXIMUM_DELAY_MS)
      const isFirst = known === undefined || isNewLife
      const base = isFirst ? difference : Math.min(known.difference, difference)
      smallest.set(host, { difference: base, sentAt: isFirst ? sentAt : Math.max(sentAt, known.sentAt) })
      return { delayMs: difference - base, isNewLife }
    }
  }
}
