/** Decides which data halls share one download of a row from the origin. */
import type * as types from '@switchridge/types'

/** Whether a hall that holds copies of a row can be reached. */
export interface HallReachability {
  readonly dataHall: types.DataHallId
  /** False when no member of the hall is live. */
  readonly isReachable: boolean
}

/**
 * Computes the origin group of a hall: the halls that together read each chunk from the origin once.
 *
 * By default all halls form one group, because the origin's link brings new chunks into the fleet fastest
 * when it sends each of them only once. Unreachable halls are excluded, so that the others continue without
 * them, only if the row favours time and `originCopies` allows one copy for every partition that the fleet
 * may have split into: with s unreachable halls there are at most s + 1 partitions, and each of them applies
 * the same rule.
 *
 * @param row - The model row to download.
 * @param ownHall - The hall whose group is computed.
 * @param halls - All halls that hold copies of the row.
 * @returns The halls of the group in ascending order, including `ownHall`.
 * @example
 * computeOriginGroup({ ...row, favour: 'time', originCopies: 2 }, 'a', [{ dataHall: 'b', isReachable: false }]) // ['a']
 */
export function computeOriginGroup (row: types.ModelRow, ownHall: types.DataHallId, halls: readonly HallReachability[]): types.DataHallId[] {
  const otherHalls = halls.filter((hall) => hall.dataHall !== ownHall)
  const unreachableCount = otherHalls.filter((hall) => !hall.isReachable).length
  const excludesUnreachable = row.favour === 'time' && unreachableCount > 0 && unreachableCount + 1 <= row.originCopies
  const members = excludesUnreachable ? otherHalls.filter((hall) => hall.isReachable) : otherHalls
  return [...new Set([ownHall, ...members.map((hall) => hall.dataHall)])].sort()
}
