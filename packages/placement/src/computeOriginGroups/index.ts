/** Splits the data halls of a row into groups that each read one copy from the origin. */
import * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'

/**
 * Computes the origin groups of a row.
 *
 * @param row - The row; its allowed copies bound the number of groups, and origin bytes as favour means one group.
 * @param halls - Data halls that hold copies of the row.
 * @returns The groups; every hall is in one.
 * @example
 * computeOriginGroups({ ...row, favour: 'origin-bytes' }, ['a', 'b', 'c']) // [['a', 'b', 'c']]
 */
export function computeOriginGroups (row: types.ModelRow, halls: readonly types.DataHallId[]): types.DataHallId[][] {
  const ranked = membership.rankByRendezvous(row.manifest, [...new Set(halls)], (hall) => hall)
  const wanted = row.favour === 'origin-bytes' ? 1 : row.originCopies
  const count = Math.max(1, Math.min(wanted, ranked.length))
  const groups: types.DataHallId[][] = Array.from({ length: count }, () => [])
  ranked.forEach((hall, index) => groups[index % count]?.push(hall))
  return groups
}
