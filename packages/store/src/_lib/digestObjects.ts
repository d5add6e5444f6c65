/** An order-independent digest of the names and revisions of objects: the sum of their hashes. */
import createHasher from 'xxhash-wasm'

const hasher = await createHasher()
/** Digests are short because heartbeats carry them; 40 bits make a collision of two different contents a chance of 1 in 10^12. */
const DIGEST_BITS = 40
const DIGEST_RADIX = 36

/** The parts of an object that the digest covers. */
export interface DigestedObject {
  readonly name: string
  readonly revision: number
}

/**
 * Computes the digest of objects, independent of their order.
 *
 * @param objects - The objects, each name once.
 * @returns A short text, equal for equal names and revisions.
 */
export function digestObjects (objects: Iterable<DigestedObject>): string {
  let sum = 0n
  for (const { name, revision } of objects) sum += hasher.h64(`${name}\n${revision}`)
  return BigInt.asUintN(DIGEST_BITS, sum).toString(DIGEST_RADIX)
}
