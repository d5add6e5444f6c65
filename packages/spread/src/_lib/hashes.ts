/** Hashes of strings, equal on all daemons. */

const HASH_FACTOR = 31
const HASH_SIZE = 1_000_003
/** The prime of FNV-1a, and the factors of the finalizer of MurmurHash3. */
const MIX_FACTORS = [0x01000193, 0x85ebca6b, 0xc2b2ae35] as const
/** Fractional parts of the multiples of this number are distributed evenly between 0 and 1. */
const GOLDEN_RATIO_FRACTION = 0.618_033_988_75

/** Hashes strings to a whole number below {@link HASH_SIZE}. */
export function hashStrings (strings: readonly string[]): number {
  let hash = 0
  for (const text of strings) for (let at = 0; at < text.length; at += 1) hash = (hash * HASH_FACTOR + text.charCodeAt(at)) % HASH_SIZE
  return hash
}

/**
 * Hashes a string to 32 well-mixed bits, so that the exclusive or of the hashes of consecutive ids does not cancel out.
 *
 * @param text - The string.
 * @returns A whole number below 2 ** 32.
 */
export function hash32 (text: string): number {
  let hash = 0
  for (let at = 0; at < text.length; at += 1) hash = Math.imul(hash ^ text.charCodeAt(at), MIX_FACTORS[0])
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTORS[1])
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTORS[2])
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Maps consecutive numbers, such as hashes of the hosts of one network, to fractions distributed evenly between 0 and 1. */
export function computeEvenFraction (value: number): number {
  return value * GOLDEN_RATIO_FRACTION % 1
}

/**
 * Computes the phase of the periodic datagrams from one host to another, as a fraction of their interval.
 *
 * @param from - Host of the sender.
 * @param to - Host of the receiver.
 * @returns A fraction from 0 to 1; the phases of a receiver's senders, and of a sender's receivers, are distributed evenly.
 */
export function computePhase (from: string, to: string): number {
  return computeEvenFraction(hashStrings([to, ' ', from]))
}
