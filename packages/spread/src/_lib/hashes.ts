/** Numbers from names, the same ones on each daemon. */

const HASH_FACTOR = 31
const HASH_SIZE = 1_000_003
/** Of the hash FNV-1a, and of the last steps of MurmurHash3. */
const MIX_FACTORS = [0x01000193, 0x85ebca6b, 0xc2b2ae35] as const
/** Multiples of the golden ratio's fraction lie evenly between whole numbers. */
const GOLDEN_PART = 0.618_033_988_75

/** Hashes words to a whole number below {@link HASH_SIZE}. */
export function hashWords (words: readonly string[]): number {
  let hash = 0
  for (const word of words) for (let at = 0; at < word.length; at += 1) hash = (hash * HASH_FACTOR + word.charCodeAt(at)) % HASH_SIZE
  return hash
}

/**
 * Hashes a word to 32 bits of which each one depends on all others, so that hashes of words that follow each other don't cancel out in an exclusive or.
 *
 * @param word - The word.
 * @returns A whole number below 2 ** 32.
 */
export function hashMixed (word: string): number {
  let hash = 0
  for (let at = 0; at < word.length; at += 1) hash = Math.imul(hash ^ word.charCodeAt(at), MIX_FACTORS[0])
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTORS[1])
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTORS[2])
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Gives numbers that follow each other, as hashes of hosts of one net do, parts from 0 to 1 that lie evenly. */
export function spreadEvenly (whole: number): number {
  return whole * GOLDEN_PART % 1
}

/**
 * Computes which part of an interval passes before the first of two hosts' regular datagrams.
 *
 * @param from - Host of the sender.
 * @param to - Host of the receiver.
 * @returns A part from 0 to 1; those of a receiver's senders, and of a sender's receivers, are spread evenly.
 */
export function computePhase (from: string, to: string): number {
  return spreadEvenly(hashWords([to, ' ', from]))
}
