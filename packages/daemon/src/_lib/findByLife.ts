/** Finds the back end whose life has a name. */
import type * as gateway from '@switchridge/gateway'
import * as types from '@switchridge/types'

/**
 * Finds a back end by its life.
 *
 * @param backEnds - Those that are listed.
 * @param life - The name of the life.
 * @returns The back end; undefined when that life is not listed.
 */
export function findByLife (backEnds: readonly gateway.BackEnd[], life: types.BackEndLife): gateway.BackEnd | undefined {
  return backEnds.find(({ id, bornAt }) => types.formatLife(id, bornAt) === life)
}
