/** Who fetches each piece from whom, worked out alike by every agent without a coordinator. */
import * as membership from '@switchridge/membership'
import type * as staging from '../types/index.js'

/** How one agent gets one piece. */
export interface ProviderPlan {
  /** `reader`: from the origin; `importer`: from another zone for its own; `member`: from its zone's importer. */
  readonly part: 'reader' | 'importer' | 'member'
  /** The agent to ask; null for a reader. */
  readonly provider: staging.StagingPeer | null
}

/**
 * Ranks the providers of a piece. One agent of all reads it from the origin, one of each other zone brings it
 * there, and the rest take it from the one of their zone.
 *
 * @param key - Version and number of the piece.
 * @param self - This agent.
 * @param agents - All live agents, this one included.
 * @returns This agent's part and whom it asks.
 */
export function rankProviders (key: string, self: staging.StagingPeer, agents: readonly staging.StagingPeer[]): ProviderPlan {
  const reader = pick(key, agents)
  if (reader === undefined || reader.node === self.node) return { part: 'reader', provider: null }
  const ownZone = agents.filter((agent) => agent.zone === self.zone)
  const importer = reader.zone === self.zone ? reader : pick(key, ownZone)
  if (importer === undefined || importer.node === self.node) return { part: 'importer', provider: reader }
  return { part: 'member', provider: importer }
}

function pick (key: string, agents: readonly staging.StagingPeer[]): staging.StagingPeer | undefined {
  return membership.pickByRendezvous(key, agents, (agent) => agent.node)
}
