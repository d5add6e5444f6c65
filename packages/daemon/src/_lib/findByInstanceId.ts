/** Finds a backend server by its instance identifier, which stands for one run of its process. */
import type * as gateway from '@switchridge/gateway'
import * as types from '@switchridge/types'

/**
 * Finds a backend server by its instance identifier, which is formed from its id and start time.
 *
 * @param backEnds - The listed backend servers.
 * @param instanceId - The instance identifier.
 * @returns The backend server; undefined if it is not listed, or is listed with another start time.
 */
export function findByInstanceId (backEnds: readonly gateway.BackEnd[], instanceId: types.BackEndInstanceId): gateway.BackEnd | undefined {
  return backEnds.find(({ id, bornAt }) => types.formatBackEndInstanceId(id, bornAt) === instanceId)
}
