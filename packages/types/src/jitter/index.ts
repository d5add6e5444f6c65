/**
 * Shortens a pause by chance, so that those that paused together don't come back together.
 *
 * @param milliseconds - The longest pause.
 * @param minimumPart - Part of it that always passes, from 0 to 1.
 * @param random - Random number from 0 to 1.
 * @returns Milliseconds between that part and the whole.
 */
export function jitter (milliseconds: number, minimumPart: number, random: number): number {
  return milliseconds * (minimumPart + (1 - minimumPart) * random)
}
