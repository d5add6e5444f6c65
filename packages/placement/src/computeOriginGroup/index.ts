/** Decides which data halls share one copy from the origin. */
import type * as types from '@switchridge/types'

/** A hall that holds copies of a row. */
export interface HallReach {
  readonly dataHall: types.DataHallId
  /** False when the hall fell silent as a whole. */
  readonly isReachable: boolean
}

/**
 * Computes the origin group of a hall.
 *
 * All halls share one copy, since the origin's link feeds new chunks into the fleet fastest when it sends
 * each of them once. Halls that cannot be reached are left out, so that the others go on without them,
 * only if the row favours time and its allowance would bear one copy for every part into which the fleet
 * may have fallen: with s halls silent there are at most s + 1 parts, and each of them counts like this.
 *
 * @param row - The row.
 * @param own - The hall that asks.
 * @param halls - All halls that hold copies of the row.
 * @returns The halls of the group, `own` among them.
 * @example
 * computeOriginGroup({ ...row, favour: 'time', originCopies: 2 }, 'a', [{ dataHall: 'b', isReachable: false }]) // ['a']
 */
export function computeOriginGroup (row: types.ModelRow, own: types.DataHallId, halls: readonly HallReach[]): types.DataHallId[] {
  const others = halls.filter((hall) => hall.dataHall !== own)
  const silent = others.filter((hall) => !hall.isReachable).length
  const goesAlone = row.favour === 'time' && silent > 0 && silent + 1 <= row.originCopies
  const members = goesAlone ? others.filter((hall) => hall.isReachable) : others
  return [...new Set([own, ...members.map((hall) => hall.dataHall)])].sort()
}
