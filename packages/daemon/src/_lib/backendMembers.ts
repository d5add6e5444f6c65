/** Selects the members of a fleet that can take calls of a service. */
import type * as membership from '@switchridge/membership'
import type * as types from '@switchridge/types'

function canServe ({ facts, leaving }: membership.Member, service: types.ServiceName, row: string): boolean {
  if (facts.role !== 'backend' || facts.service !== service || leaving) return false
  return row === '' || facts.serving.some((served) => served.row === row)
}

/**
 * Lists the backend servers that can take calls.
 *
 * @param members - All known members.
 * @param service - Service of the calls.
 * @param row - Row of the model; empty for a plain service.
 * @returns The live ones that are not leaving.
 */
export function listBackends (members: readonly membership.Member[], service: types.ServiceName, row: string): types.MemberFacts[] {
  return members.filter((member) => member.condition === 'live' && canServe(member, service, row)).map((member) => member.facts)
}

/**
 * Whether a backend server that became silent a moment ago could take calls once it is heard again.
 *
 * @param members - All known members.
 * @param service - Service of the calls.
 * @param row - Row of the model; empty for a plain service.
 * @returns True if there is one.
 */
export function isRecoveryPossible (members: readonly membership.Member[], service: types.ServiceName, row: string): boolean {
  return members.some((member) => member.recentlySilent && canServe(member, service, row))
}
