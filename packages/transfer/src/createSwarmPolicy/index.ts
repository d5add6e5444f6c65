/** Swarm policy: rendezvous hashing assigns each chunk one origin reader and one importer in each data hall, without any coordination between nodes. */
import * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import type * as transfer from '../types/index.js'

/** Options of {@link createSwarmPolicy}. */
export interface SwarmOptions {
  readonly self: transfer.Peer
  /** Nodes that hold or are to hold the version, this one included; unreachable nodes of a data hall that is cut off still count. */
  readonly holders: readonly transfer.Peer[]
  /** Data halls that share one copy from the origin, this node's hall included. */
  readonly originGroup: ReadonlySet<types.DataHallId>
  readonly manifestDigest: types.Digest
  readonly chunkBytes: number
  /** Bytes per second that this group may read from the origin. */
  readonly originBytesPerSecond: number
  /** Monotonic time in milliseconds at which the transfer began on this node. */
  readonly startedAt: number
  /** Milliseconds after which the next node in order queries the provider of an overdue chunk; 3000 by default. */
  readonly takeOverDelayMs?: number
  /** Whether the origin allowance permits reading again what an unreachable provider may have read already; true if not given. */
  readonly mayRereadOrigin?: (provider: types.NodeId) => boolean
}

const DEFAULT_TAKE_OVER_DELAY_MS = 3000
const ANNOUNCE_TARGETS_IN_HALL = 6
const MILLISECONDS_PER_SECOND = 1000

/**
 * Creates the policy of one node for one version.
 *
 * @param options - The node, the holders and the origin allowance of the version.
 * @returns The policy.
 */
export function createSwarmPolicy (options: SwarmOptions): transfer.TransferPolicy {
  const { self, manifestDigest, startedAt } = options
  const takeOverDelayMs = options.takeOverDelayMs ?? DEFAULT_TAKE_OVER_DELAY_MS
  const groupMembers = options.holders.filter((peer) => options.originGroup.has(peer.dataHall))
  const hallMembers = groupMembers.filter((peer) => peer.dataHall === self.dataHall)
  const hallRanks = new Map<number, readonly transfer.Peer[]>()
  const readers = new Map<number, transfer.Peer | undefined>()
  const takenOver = new Set<number>()
  const released = new Set<number>()
  const originReadIntervalMs = options.chunkBytes * MILLISECONDS_PER_SECOND / options.originBytesPerSecond

  const formatChunkKey = (chunk: number): string => `${manifestDigest}/${chunk}`
  const originReadAt = (chunk: number): number => startedAt + chunk * originReadIntervalMs

  function rankHall (chunk: number): readonly transfer.Peer[] {
    const cached = hallRanks.get(chunk)
    if (cached !== undefined) return cached
    const ranked = membership.rankByRendezvous(formatChunkKey(chunk), hallMembers, (peer) => peer.node)
    hallRanks.set(chunk, ranked)
    return ranked
  }

  const isImporter = (chunk: number): boolean => rankHall(chunk)[0]?.node === self.node || takenOver.has(chunk)

  /** Finds the origin reader of a chunk for the whole group. */
  function findReader (chunk: number): transfer.Peer | undefined {
    if (!readers.has(chunk)) readers.set(chunk, membership.pickByRendezvous(formatChunkKey(chunk), groupMembers, (peer) => peer.node))
    return readers.get(chunk)
  }

  function readsOrigin (chunk: number): boolean {
    if (takenOver.has(chunk)) return true
    if (released.has(chunk) || !isImporter(chunk)) return false
    return findReader(chunk)?.node === self.node
  }

  /** The highest-ranked node of each other data hall in the group is the importer of that hall. */
  function findImportersOfOtherHalls (chunk: number): types.NodeId[] {
    const importers = new Map<types.DataHallId, transfer.Peer>()
    for (const peer of membership.rankByRendezvous(formatChunkKey(chunk), groupMembers, (member) => member.node)) {
      if (peer.dataHall !== self.dataHall && !importers.has(peer.dataHall)) importers.set(peer.dataHall, peer)
    }
    return [...importers.values()].map((peer) => peer.node)
  }

  function findAnnounceTargets (chunk: number): readonly types.NodeId[] {
    if (!isImporter(chunk)) return []
    const hallTargets = rankHall(chunk).filter((peer) => peer.node !== self.node).slice(0, ANNOUNCE_TARGETS_IN_HALL).map((peer) => peer.node)
    return readsOrigin(chunk) ? [...findImportersOfOtherHalls(chunk), ...hallTargets] : hallTargets
  }

  /** The hall's first node queries the origin reader one delay after the time of the read, and each further node the one before it another delay later. */
  function findOverdueProvider (chunk: number, now: number): types.NodeId | null {
    const ranked = rankHall(chunk)
    const rank = ranked.findIndex((peer) => peer.node === self.node)
    const isLate = now >= originReadAt(chunk) + takeOverDelayMs * (rank + 1)
    if (!isLate || readsOrigin(chunk)) return null
    const reader = findReader(chunk)?.node ?? null
    if (rank === 0) return reader === self.node ? ranked[1]?.node ?? null : reader
    return ranked[rank - 1]?.node ?? null
  }

  return {
    rarestFirst: true,
    originReadAt,
    readsOrigin,
    findAnnounceTargets,
    findOverdueProvider,
    isImporter,
    findImporter: (chunk) => isImporter(chunk) ? null : rankHall(chunk)[0]?.node ?? null,
    requestScopeOf: (peer) => peer.dataHall === self.dataHall ? 'everything' : 'imported',
    takeOver: (chunk, provider) => {
      if (options.mayRereadOrigin?.(provider) === false) return false
      released.delete(chunk)
      takenOver.add(chunk)
      return true
    },
    release: (chunk) => {
      takenOver.delete(chunk)
      released.add(chunk)
    }
  }
}
