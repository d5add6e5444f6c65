/** Random numbers that are the same for the same seed. */

const MODULUS = 2_147_483_647
const MULTIPLIER = 48_271

/**
 * Creates a generator (Lehmer's, with the figures of Park and Miller).
 *
 * @param seed - A whole number from 1 on.
 * @returns Returns a number between 0 and 1 each time.
 */
export function createRandom (seed: number): () => number {
  let value = seed
  return () => {
    value = value * MULTIPLIER % MODULUS
    return value / MODULUS
  }
}
