/** Finds a backend server by the name of its current life, that is, of one run of its process. */
import type * as gateway from '@switchridge/gateway'
import * as types from '@switchridge/types'

/**
 * Finds a backend server by the name of its life, which is formed from its id and start time.
 *
 * @param backEnds - The listed backend servers.
 * @param life - The name of the life.
 * @returns The backend server; undefined if none is listed with this life.
 */
export function findByLife (backEnds: readonly gateway.BackEnd[], life: types.BackEndLife): gateway.BackEnd | undefined {
  return backEnds.find(({ id, bornAt }) => types.formatLife(id, bornAt) === life)
}
