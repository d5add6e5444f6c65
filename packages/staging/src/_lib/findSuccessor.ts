/** Finds the version whose deadline ends the service of an older one. */
import type * as staging from '../types/index.js'

/**
 * Finds the newer version with the earliest deadline; after that deadline no call may begin on the older version.
 *
 * @param named - Versions that operators have named.
 * @param version - The older version.
 * @returns The newer version, or undefined if none has a deadline.
 */
export function findSuccessor (named: readonly staging.NamedVersion[], version: number): staging.NamedVersion | undefined {
  const newer = named.filter((each) => each.id.version > version && Number.isFinite(each.deadlineAt))
  return newer.sort((left, right) => left.deadlineAt - right.deadlineAt)[0]
}
