/** Assigns a provider to each piece: evenly, and with the same result at every agent, without a coordinator. */
import * as membership from '@switchridge/membership'
import type * as staging from '../types/index.js'

/** How one agent gets one piece. */
export interface PieceAssignment {
  /** `reader`: from the origin; `importer`: from an agent of another zone, on behalf of its own zone; `member`: from an agent of its own zone. */
  readonly part: 'reader' | 'importer' | 'member'
  /** The agent to ask; null for a reader, and for an importer while no agent of the reader's zone is known. */
  readonly provider: staging.StagingPeer | null
}

/**
 * Number of agents that read from the origin, over all zones: it accepts at most 48 connections and refuses more; eight concurrent reads saturate its
 * link.
 */
export const MAXIMUM_READERS = 32

type Counts = Map<string, number>

/**
 * Assigns the pieces of a version. Each zone reads the same number of pieces, however many of its agents are known: after a restart of the whole fleet, zones
 * discover each other late, and each would otherwise read all pieces. One agent of the zone reads a piece from the origin, one agent of each other zone
 * imports it, and the rest fetch it from the reader or importer of their zone. Each agent provides about as many pieces as any other, so that no
 * single one with a long queue finishes last; when an agent joins or leaves, few pieces are assigned anew.
 *
 * @param key - The version, as the key of rendezvous hashing.
 * @param pieces - Number of pieces.
 * @param self - This agent.
 * @param agents - All live agents, this one included.
 * @param expectedZones - Zones that take part although none of their agents may be known yet.
 * @returns This agent's assignment for each piece, in order.
 */
export function assignPieces (key: string, pieces: number, self: staging.StagingPeer, agents: readonly staging.StagingPeer[], expectedZones: readonly string[] = []): PieceAssignment[] {
  const zones = [...new Set([...expectedZones, ...agents.map((agent) => agent.zone)])].sort()
  const maximumZoneReads = Math.ceil(pieces / zones.length)
  const inZone = agents.filter((agent) => agent.zone === self.zone)
  const maximumImports = Math.ceil(pieces / Math.max(1, inZone.length))
  const readersOf = new Map(zones.map((zone) => [zone, listReaders(key, zone, agents, zones.length)]))
  const zoneReads: Counts = new Map()
  const reads: Counts = new Map()
  const imports: Counts = new Map()
  const picks = Array.from({ length: pieces }, (_, piece) => {
    const zone = pickWithinCap(`${key}/${piece}/zone`, zones, zoneReads, maximumZoneReads, (each) => each) as string
    const readers = readersOf.get(zone) ?? []
    return { zone, reader: pickWithinCap(`${key}/${piece}`, readers, reads, Math.ceil(maximumZoneReads / Math.max(1, readers.length)), nodeOf) }
  })
  for (const { zone, reader } of picks) if (reader !== undefined && zone === self.zone) increment(imports, reader.node)
  return picks.map(({ zone, reader }, piece) => {
    if (reader?.node === self.node) return { part: 'reader', provider: null }
    if (reader !== undefined && zone === self.zone) return { part: 'member', provider: reader }
    const importer = pickWithinCap(`${key}/${piece}`, inZone, imports, maximumImports, nodeOf)
    if (importer === undefined || importer.node === self.node) return { part: 'importer', provider: reader ?? null }
    return { part: 'member', provider: importer }
  })
}

function nodeOf (agent: staging.StagingPeer): string {
  return agent.node
}

/** The agents of a zone that read from the origin; in a small zone, all of them. */
function listReaders (key: string, zone: string, agents: readonly staging.StagingPeer[], zones: number): staging.StagingPeer[] {
  const inZone = agents.filter((agent) => agent.zone === zone)
  return membership.rankByRendezvous(`${key}/readers`, inZone, nodeOf).slice(0, Math.max(1, Math.floor(MAXIMUM_READERS / zones)))
}

/** Picks the best item by rendezvous hashing among those with fewer pieces than the cap, and counts the piece for it. */
function pickWithinCap<Item> (key: string, items: readonly Item[], counts: Counts, cap: number, idOf: (item: Item) => string): Item | undefined {
  const free = items.filter((item) => (counts.get(idOf(item)) ?? 0) < cap)
  const picked = membership.pickByRendezvous(key, free.length > 0 ? free : items, idOf)
  if (picked !== undefined) increment(counts, idOf(picked))
  return picked
}

function increment (counts: Counts, id: string): void {
  counts.set(id, (counts.get(id) ?? 0) + 1)
}
