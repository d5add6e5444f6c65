/** Who fetches each piece from whom: dealt evenly, and worked out alike by every agent without a coordinator. */
import * as membership from '@switchridge/membership'
import type * as staging from '../types/index.js'

/** How one agent gets one piece. */
export interface ProviderPlan {
  /** `reader`: from the origin; `importer`: from another zone for its own; `member`: from its zone's importer. */
  readonly part: 'reader' | 'importer' | 'member'
  /** The agent to ask; null for a reader, and for an importer while nobody of the reader's zone is known. */
  readonly provider: staging.StagingPeer | null
}

/**
 * Agents that read the origin, of all zones together: it serves 48 connections at most and refuses more; eight reads at a time fill its
 * link.
 */
export const MAXIMUM_READERS = 32

type Counts = Map<string, number>

/**
 * Deals the pieces of a version. Each zone reads as many pieces as any other, whoever is known of it: after a return of all, zones hear of
 * each other late, and each would read all pieces. In the zone one agent reads a piece from the origin, one of each other zone brings
 * it there, and the rest take it from the one of their zone. Each agent gets about as many as any other, because the
 * one with most pieces to pass on is done last; when an agent comes or goes, few pieces change hands.
 *
 * @param key - The version.
 * @param pieces - Number of pieces.
 * @param self - This agent.
 * @param agents - All live agents, this one included.
 * @param expectedZones - Zones that are counted on although nobody of them may be known yet.
 * @returns This agent's plan for each piece, in order.
 */
export function assignPieces (key: string, pieces: number, self: staging.StagingPeer, agents: readonly staging.StagingPeer[], expectedZones: readonly string[] = []): ProviderPlan[] {
  const zones = [...new Set([...expectedZones, ...agents.map((agent) => agent.zone)])].sort()
  const zoneCap = Math.ceil(pieces / zones.length)
  const inZone = agents.filter((agent) => agent.zone === self.zone)
  const importerCap = Math.ceil(pieces / Math.max(1, inZone.length))
  const readersOf = new Map(zones.map((zone) => [zone, listReaders(key, zone, agents, zones.length)]))
  const zoneReads: Counts = new Map()
  const reads: Counts = new Map()
  const imports: Counts = new Map()
  const dealt = Array.from({ length: pieces }, (_, piece) => {
    const zone = pickBelow(`${key}/${piece}/zone`, zones, zoneReads, zoneCap, (each) => each) as string
    const readers = readersOf.get(zone) ?? []
    return { zone, reader: pickBelow(`${key}/${piece}`, readers, reads, Math.ceil(zoneCap / Math.max(1, readers.length)), nodeOf) }
  })
  for (const { zone, reader } of dealt) if (reader !== undefined && zone === self.zone) add(imports, reader.node)
  return dealt.map(({ zone, reader }, piece) => {
    if (reader?.node === self.node) return { part: 'reader', provider: null }
    if (reader !== undefined && zone === self.zone) return { part: 'member', provider: reader }
    const importer = pickBelow(`${key}/${piece}`, inZone, imports, importerCap, nodeOf)
    if (importer === undefined || importer.node === self.node) return { part: 'importer', provider: reader ?? null }
    return { part: 'member', provider: importer }
  })
}

function nodeOf (agent: staging.StagingPeer): string {
  return agent.node
}

/** The agents of a zone that read the origin; all of a small one. */
function listReaders (key: string, zone: string, agents: readonly staging.StagingPeer[], zones: number): staging.StagingPeer[] {
  const inZone = agents.filter((agent) => agent.zone === zone)
  return membership.rankByRendezvous(`${key}/readers`, inZone, nodeOf).slice(0, Math.max(1, Math.floor(MAXIMUM_READERS / zones)))
}

/** The best item by rendezvous that has fewer pieces than the cap; counts the piece. */
function pickBelow<Item> (key: string, items: readonly Item[], counts: Counts, cap: number, idOf: (item: Item) => string): Item | undefined {
  const free = items.filter((item) => (counts.get(idOf(item)) ?? 0) < cap)
  const picked = membership.pickByRendezvous(key, free.length > 0 ? free : items, idOf)
  if (picked !== undefined) add(counts, idOf(picked))
  return picked
}

function add (counts: Counts, id: string): void {
  counts.set(id, (counts.get(id) ?? 0) + 1)
}
