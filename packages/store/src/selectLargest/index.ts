/** Selects what has to be given up so that the rest stays within a bound. */

/**
 * Selects the largest sizes of which the others add up to a total at most, so that few large ones of one writer cost none of the many small ones.
 *
 * @param sizes - Sizes, in any unit.
 * @param maximumTotal - Largest sum of those that are not selected.
 * @returns The indexes of the selected sizes; none if all together stay within the bound.
 * @example
 * selectLargest([1, 9, 5], 6) // Set { 1 }
 */
export function selectLargest (sizes: readonly number[], maximumTotal: number): ReadonlySet<number> {
  const selected = new Set<number>()
  let total = sizes.reduce((sum, size) => sum + size, 0)
  if (total <= maximumTotal) return selected
  for (const [index, size] of [...sizes.entries()].sort(([, left], [, right]) => right - left)) {
    if (total <= maximumTotal) break
    selected.add(index)
    total -= size
  }
  return selected
}
