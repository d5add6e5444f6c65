/** Seeded pseudo-random numbers, reproducible for the same seed. */

const MODULUS = 2_147_483_647
const MULTIPLIER = 48_271

/**
 * Creates a generator: the Lehmer generator with the revised constants of Park and Miller.
 *
 * @param seed - A positive integer below 2^31 - 1.
 * @returns A function that returns the next number between 0 and 1.
 */
export function createSeededRandom (seed: number): () => number {
  let value = seed
  return () => {
    value = value * MULTIPLIER % MODULUS
    return value / MODULUS
  }
}
