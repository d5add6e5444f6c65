/**
 * Tells whether a value is a finite number that is not negative; fractions are accepted.
 *
 * @param value - Any value.
 * @returns True for such a number.
 */
export function isNonNegativeNumber (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
