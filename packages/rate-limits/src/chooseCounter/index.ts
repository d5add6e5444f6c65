/** Chooses the counter of a back end: the daemon that grants all permits for requests to it. */
import * as membership from '@switchridge/membership'
import type * as types from '@switchridge/types'

/** A daemon that may be chosen, as seen by the choosing daemon. */
export interface CounterCandidate {
  readonly node: types.NodeId
  readonly host: string
  /** Data hall. */
  readonly zone: string
  readonly role: 'gateway' | 'agent'
  readonly isLive: boolean
  readonly isLeaving: boolean
}

/** The back end whose requests are counted. */
export interface RateLimitedBackEnd {
  readonly life: types.BackEndInstanceId
  readonly host: string
  /** Data hall. */
  readonly zone: string
}

/** The daemon that counts, and the fraction of the limit that it may grant. */
export interface ChosenCounter {
  readonly host: string
  readonly part: number
}

/**
 * Fraction of the limit that a gateway grants when it substitutes for an unreachable agent. If only some daemons have lost the agent, both grant permits, and
 * together they must stay within what a limit tolerates: in any four seconds one and a half times the requests of its rate, and five more.
 */
export const SUBSTITUTE_FRACTION = 0.25

/**
 * Chooses the counter: the agent on the back end's host. If there is none or it is not live, the first gateway of the back end's data hall by rendezvous
 * hashing, or of all halls if its own has no gateway. A gateway may grant the whole limit if
 * there is no agent, and {@link SUBSTITUTE_FRACTION} of it if there is one. Daemons with the same view of the members make the same choice.
 *
 * @param backEnd - The back end.
 * @param candidates - All known daemons, including the caller's own.
 * @returns The counter; null if no daemon qualifies.
 */
export function chooseCounter (backEnd: RateLimitedBackEnd, candidates: readonly CounterCandidate[]): ChosenCounter | null {
  const agent = candidates.find(({ role, host }) => role === 'agent' && host === backEnd.host)
  if (agent?.isLive === true) return { host: agent.host, part: 1 }
  const gateways = candidates.filter(({ role, isLive, isLeaving }) => role === 'gateway' && isLive && !isLeaving)
  const sameHall = gateways.filter(({ zone }) => zone === backEnd.zone)
  const [first] = membership.rankByRendezvous(`rate/${backEnd.life}`, sameHall.length > 0 ? sameHall : gateways, ({ node }) => node)
  if (first === undefined) return null
  return { host: first.host, part: agent === undefined ? 1 : SUBSTITUTE_FRACTION }
}
