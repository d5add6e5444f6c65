/** Chooses the daemon that counts what may be sent to a back end. */
import * as membership from '@switchridge/membership'
import type * as types from '@switchridge/types'

/** A daemon, as another one or itself sees it. */
export interface CounterCandidate {
  readonly node: types.NodeId
  readonly host: string
  readonly zone: string
  readonly role: 'gateway' | 'agent'
  readonly isLive: boolean
  readonly isLeaving: boolean
}

/** The back end that is counted. */
export interface CountedBackEnd {
  readonly life: types.BackEndLife
  readonly host: string
  readonly zone: string
}

/** Who counts, and which part of the limit it may give. */
export interface ChosenCounter {
  readonly host: string
  readonly part: number
}

/**
 * A gateway that counts in place of an agent gives this part of the limit: where only some daemons have lost the agent, both count, and together they stay
 * under what a limit tolerates.
 */
export const SUBSTITUTE_PART = 0.25

/**
 * Chooses the counter: the agent beside the back end; for one without an agent, or whose agent is silent, the first gateway of its hall by rank, or of all
 * halls where its own has none. Daemons that see the same members choose alike.
 *
 * @param backEnd - The back end.
 * @param candidates - All daemons known, the own one included.
 * @returns The counter; null when nobody may count.
 */
export function chooseCounter (backEnd: CountedBackEnd, candidates: readonly CounterCandidate[]): ChosenCounter | null {
  const agent = candidates.find(({ role, host }) => role === 'agent' && host === backEnd.host)
  if (agent?.isLive === true) return { host: agent.host, part: 1 }
  const gateways = candidates.filter(({ role, isLive, isLeaving }) => role === 'gateway' && isLive && !isLeaving)
  const near = gateways.filter(({ zone }) => zone === backEnd.zone)
  const [first] = membership.rankByRendezvous(`rate/${backEnd.life}`, near.length > 0 ? near : gateways, ({ node }) => node)
  if (first === undefined) return null
  return { host: first.host, part: agent === undefined ? 1 : SUBSTITUTE_PART }
}
