/** The swarm: each chunk has one reader at the origin and one importer in each data hall, agreed by rendezvous hashing alone. */
import * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import type * as transfer from '../types/index.js'

/** Options of {@link createSwarmPolicy}. */
export interface SwarmOptions {
  readonly self: transfer.Peer
  /** Nodes that hold or shall hold the version, this one included; silent ones of a hall that is cut off still count. */
  readonly holders: readonly transfer.Peer[]
  /** Data halls that share one copy from the origin with this node's hall. */
  readonly group: ReadonlySet<types.DataHallId>
  readonly manifestDigest: types.Digest
  readonly chunkBytes: number
  /** Bytes a second that this group may read from the origin. */
  readonly originBytesPerSecond: number
  /** Monotonic time in milliseconds at which the transfer began here. */
  readonly startedAt: number
  /** Milliseconds after which the next node in order asks what became of a chunk. */
  readonly patienceMs?: number
  /** Whether the allowance leaves room to read again what a node that cannot be asked may have read already. */
  readonly mayReadAgain?: (provider: types.NodeId) => boolean
}

const DEFAULT_PATIENCE_MS = 3000
const ANNOUNCEMENTS_IN_HALL = 6
const MILLISECONDS = 1000

/**
 * Creates the policy of one node for one version.
 *
 * @param options - The node, the holders-to-be and the allowance of the row.
 * @returns The policy.
 */
export function createSwarmPolicy (options: SwarmOptions): transfer.TransferPolicy {
  const { self, manifestDigest, startedAt } = options
  const patienceMs = options.patienceMs ?? DEFAULT_PATIENCE_MS
  const members = options.holders.filter((peer) => options.group.has(peer.dataHall))
  const hall = members.filter((peer) => peer.dataHall === self.dataHall)
  const hallRanks = new Map<number, readonly transfer.Peer[]>()
  const readers = new Map<number, transfer.Peer | undefined>()
  const takenOver = new Set<number>()
  const released = new Set<number>()
  const slotMs = options.chunkBytes * MILLISECONDS / options.originBytesPerSecond

  const keyOf = (chunk: number): string => `${manifestDigest}/${chunk}`
  const slotAt = (chunk: number): number => startedAt + chunk * slotMs

  function rankHall (chunk: number): readonly transfer.Peer[] {
    const known = hallRanks.get(chunk)
    if (known !== undefined) return known
    const ranked = membership.rankByRendezvous(keyOf(chunk), hall, (peer) => peer.node)
    hallRanks.set(chunk, ranked)
    return ranked
  }

  const isImporter = (chunk: number): boolean => rankHall(chunk)[0]?.node === self.node || takenOver.has(chunk)

  function findReader (chunk: number): transfer.Peer | undefined {
    if (!readers.has(chunk)) readers.set(chunk, membership.pickByRendezvous(keyOf(chunk), members, (peer) => peer.node))
    return readers.get(chunk)
  }

  function readsOrigin (chunk: number): boolean {
    if (takenOver.has(chunk)) return true
    if (released.has(chunk) || !isImporter(chunk)) return false
    return findReader(chunk)?.node === self.node
  }

  /** The best of every other hall in the group is the importer there. */
  function findOtherImporters (chunk: number): types.NodeId[] {
    const best = new Map<types.DataHallId, transfer.Peer>()
    for (const peer of membership.rankByRendezvous(keyOf(chunk), members, (member) => member.node)) {
      if (peer.dataHall !== self.dataHall && !best.has(peer.dataHall)) best.set(peer.dataHall, peer)
    }
    return [...best.values()].map((peer) => peer.node)
  }

  function announceTo (chunk: number): readonly types.NodeId[] {
    if (!isImporter(chunk)) return []
    const near = rankHall(chunk).filter((peer) => peer.node !== self.node).slice(0, ANNOUNCEMENTS_IN_HALL).map((peer) => peer.node)
    return readsOrigin(chunk) ? [...findOtherImporters(chunk), ...near] : near
  }

  function overdueFrom (chunk: number, now: number): types.NodeId | null {
    const ranked = rankHall(chunk)
    const rank = ranked.findIndex((peer) => peer.node === self.node)
    const isLate = now >= slotAt(chunk) + patienceMs * (rank + 1)
    if (!isLate || readsOrigin(chunk)) return null
    const reader = findReader(chunk)?.node ?? null
    if (rank === 0) return reader === self.node ? ranked[1]?.node ?? null : reader
    return ranked[rank - 1]?.node ?? null
  }

  return {
    prefersRare: true,
    slotAt,
    readsOrigin,
    announceTo,
    overdueFrom,
    isImporter,
    importerOf: (chunk) => isImporter(chunk) ? null : rankHall(chunk)[0]?.node ?? null,
    reach: (peer) => peer.dataHall === self.dataHall ? 'everything' : 'imported',
    takeOver: (chunk, provider) => {
      if (options.mayReadAgain?.(provider) === false) return false
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
