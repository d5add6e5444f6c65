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
 * between: a named version counted as 38 s old everywhere, and every call was refused for 5 s.
 */
const MAXIMUM_DELAY_MS = 10_000

/**
 * Creates the measure. Clocks of two processes differ by a constant: the smallest difference seen stands for an idle link.
 *
 * @returns Takes the sender, its clock at the sending and the own clock, and returns the delay.
 */
export function createDelayMeasure (): (host: string, sentAt: number, now: number) => Delay {
  const smallest = new Map<string, ClockDifference>()
  return (host, sentAt, now) => {
    const difference = now - sentAt
    const known = smallest.get(host)
    const isNewLife = known !== undefined && (sentAt < known.sentAt - NEW_LIFE_MS || difference - known.difference > MAXIMUM_DELAY_MS)
    const isFirst = known === undefined || isNewLife
    const base = isFirst ? difference : Math.min(known.difference, difference)
    smallest.set(host, { difference: base, sentAt: isFirst ? sentAt : Math.max(sentAt, known.sentAt) })
    return { delayMs: difference - base, isNewLife }
  }
}
