/** Selects the agents that may provide pieces, by the suspicions that all agents report. */
import type * as staging from '../types/index.js'

/** What is known about contact with an agent. */
export interface PeerContact {
  readonly isOwnZone: boolean
  /** Whether it was heard of within the interval at which this agent receives updates about agents of that zone. */
  readonly isLive: boolean
  readonly silentMs: number
  /** For how many milliseconds this agent has been fetching; 0 when it is not. */
  readonly fetchingMs: number
}

/** When nothing is being fetched, an agent is left out after this silence; it allows for two lost heartbeats in a row between two agents. */
const SILENCE_IDLE_MS = 3200
/** Limit of the silence during a fetch, about twice the duration of a fetch over saturated links. */
const SILENCE_MAXIMUM_MS = 20_000
/** An agent is left out when this fraction of the agents of its zone, which request most pieces from it, suspect it, and at least the minimum of votes. */
const VOTES_FRACTION = 0.25
const VOTES_MINIMUM = 2
/** Agents that report themselves as too slow are left out only while they are at most this fraction of all: the others must take over their work. */
const RESIGNED_MAXIMUM_FRACTION = 0.5

/**
 * Lists the agents that may provide pieces; includes this one unless it was voted out.
 *
 * @param self - This agent.
 * @param others - All other live agents.
 * @param suspicions - For each daemon, this one included, the nodes that it considers too slow or unreachable.
 * @param resigned - Agents that report themselves as too slow to provide pieces.
 * @returns The agents.
 */
export function listReliableAgents (self: staging.StagingPeer, others: readonly staging.StagingPeer[], suspicions: readonly (readonly string[])[], resigned: readonly string[] = []): staging.StagingPeer[] {
  const mayExcludeResigned = resigned.length <= (others.length + 1) * RESIGNED_MAXIMUM_FRACTION
  const excluded = new Set([...listOutvoted([self, ...others], suspicions), ...(mayExcludeResigned ? resigned : [])])
  const reliable = others.filter((agent) => !excluded.has(agent.node))
  return excluded.has(self.node) && reliable.length > 0 ? reliable : [self, ...reliable]
}

/**
 * Computes how long an agent may be silent. An agent that was live when a fetch began keeps its assignments until it is voted out:
 * saturated links drop many heartbeats in a row, and each change of the set of agents changes the assignments of pieces.
 *
 * @param fetchingMs - For how many milliseconds this agent has been fetching; 0 when it is not.
 * @returns The maximum silence in milliseconds.
 */
export function computeSilenceMs (fetchingMs: number): number {
  return Math.min(SILENCE_MAXIMUM_MS, SILENCE_IDLE_MS + fetchingMs)
}

/**
 * Tells whether an agent was heard of recently enough to provide pieces. Agents of this agent's own zone send heartbeats directly; about agents of
 * other zones it receives updates that become rarer with the number of members.
 *
 * @param contact - What is known about contact with the agent.
 * @returns Whether it may provide pieces.
 */
export function isRecentlyHeard ({ isOwnZone, isLive, silentMs, fetchingMs }: PeerContact): boolean {
  return silentMs <= computeSilenceMs(fetchingMs) || (!isOwnZone && isLive)
}

function listOutvoted (agents: readonly staging.StagingPeer[], suspicions: readonly (readonly string[])[]): ReadonlySet<string> {
  const votes = new Map<string, number>()
  for (const node of suspicions.flatMap((each) => [...new Set(each)])) votes.set(node, (votes.get(node) ?? 0) + 1)
  const suspected = agents.filter((agent) => (votes.get(agent.node) ?? 0) >= VOTES_MINIMUM)
  const excluded = suspected.filter((agent) => (votes.get(agent.node) ?? 0) >= computeVotesNeeded(agents.filter(({ zone }) => zone === agent.zone).length))
  return new Set(excluded.map(({ node }) => node))
}

function computeVotesNeeded (agentsOfZone: number): number {
  return Math.max(VOTES_MINIMUM, Math.ceil(agentsOfZone * VOTES_FRACTION))
}
