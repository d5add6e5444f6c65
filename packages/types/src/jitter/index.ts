/**
 * Shortens a delay randomly, so that processes that began to wait together do not continue at the same time.
 *
 * @param milliseconds - The longest delay.
 * @param minimumFraction - Fraction of the delay that always elapses, from 0 to 1.
 * @param random - Random number from 0 to 1.
 * @returns Milliseconds between that fraction and the whole delay.
 */
export function jitter (milliseconds: number, minimumFraction: number, random: number): number {
  return milliseconds * (minimumFraction + (1 - minimumFraction) * random)
}
