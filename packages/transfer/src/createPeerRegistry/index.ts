/** Tracks the peers of a download: which chunks they hold, how loaded they are and which are suspended after failures. */
import type * as types from '@switchridge/types'
import * as bitmaps from '../_lib/bitmap.js'
import type * as transfer from '../types/index.js'

/** The peers of one download. */
export interface PeerRegistry {
  readonly list: () => readonly transfer.PeerState[]
  readonly find: (node: types.NodeId) => transfer.PeerState | undefined
  /** Number of known holders of each chunk. */
  readonly holders: Uint16Array
  /** Replaces the peers; the state of those whose address is unchanged is kept. */
  readonly setPeers: (peers: readonly transfer.Peer[], requestScopeOf: (peer: transfer.Peer) => transfer.RequestScope) => void
  /** Records a peer's bitmap in base64; an empty or malformed one is ignored. */
  readonly noteHave: (node: types.NodeId, have: string) => void
  /** Records that a node holds a chunk. */
  readonly noteHolder: (node: types.NodeId, chunk: number) => void
  /** Returns a few nodes known to hold a chunk, starting at a random one. */
  readonly findHolders: (chunk: number) => readonly types.NodeId[]
  /** Whether the chunk can be requested now from a peer known to hold it. */
  readonly isAvailable: (chunk: number, isImported: boolean, now: number) => boolean
  /** Suspends requests to a peer after a failure, for twice as long after each consecutive one, up to a maximum. */
  readonly suspend: (peer: transfer.PeerState, now: number) => void
}

const BITS_PER_BYTE = 8
const SUSPEND_BASE_MS = 500
const SUSPEND_MAXIMUM_MS = 4000
const MAXIMUM_RETURNED_HOLDERS = 4

/**
 * Creates an empty registry.
 *
 * @param chunkCount - Number of chunks.
 * @param random - Returns a random number from 0 to 1.
 * @returns The registry.
 */
export function createPeerRegistry (chunkCount: number, random: () => number): PeerRegistry {
  const peers = new Map<types.NodeId, transfer.PeerState>()
  const holders = new Uint16Array(chunkCount)

  function setPeers (members: readonly transfer.Peer[], requestScopeOf: (peer: transfer.Peer) => transfer.RequestScope): void {
    const memberNodes = new Set(members.map((peer) => peer.node))
    for (const node of peers.keys()) if (!memberNodes.has(node)) removePeer(node)
    for (const peer of members) updatePeer(peer, requestScopeOf(peer))
  }

  function updatePeer (peer: transfer.Peer, requestScope: transfer.RequestScope): void {
    const existing = peers.get(peer.node)
    const isSame = existing?.address.port === peer.address.port && existing.address.host === peer.address.host
    if (existing !== undefined && isSame) {
      existing.requestScope = requestScope
      return
    }
    removePeer(peer.node)
    peers.set(peer.node, { ...peer, requestScope, has: bitmaps.createBitmap(chunkCount), outstanding: 0, backlog: 0, backlogUpdatedAt: 0, suspendedUntil: 0, failures: 0 })
  }

  function removePeer (node: types.NodeId): void {
    const peer = peers.get(node)
    peers.delete(node)
    if (peer === undefined) return
    for (let chunk = 0; chunk < chunkCount; chunk += 1) if (bitmaps.hasBit(peer.has, chunk)) holders[chunk] = (holders[chunk] ?? 1) - 1
  }

  function noteHave (node: types.NodeId, have: string): void {
    const peer = peers.get(node)
    const bitmap = have === '' ? null : bitmaps.decodeBitmap(have, chunkCount)
    if (peer === undefined || bitmap === null) return
    for (let byte = 0; byte < bitmap.length; byte += 1) {
      const newBits = (bitmap[byte] ?? 0) & ~(peer.has[byte] ?? 0)
      if (newBits !== 0) markHolderOfBits(peer, byte, newBits)
    }
  }

  function markHolderOfBits (peer: transfer.PeerState, byte: number, newBits: number): void {
    for (let bit = 0; bit < BITS_PER_BYTE; bit += 1) {
      if ((newBits & (1 << bit)) !== 0) markHolder(peer, byte * BITS_PER_BYTE + bit)
    }
  }

  function markHolder (peer: transfer.PeerState, chunk: number): void {
    if (chunk >= chunkCount || bitmaps.hasBit(peer.has, chunk)) return
    bitmaps.setBit(peer.has, chunk)
    holders[chunk] = (holders[chunk] ?? 0) + 1
  }

  function findHolders (chunk: number): types.NodeId[] {
    const found = [...peers.values()].filter((peer) => bitmaps.hasBit(peer.has, chunk)).map((peer) => peer.node)
    const first = Math.floor(random() * Math.max(1, found.length))
    return [...found.slice(first), ...found.slice(0, first)].slice(0, MAXIMUM_RETURNED_HOLDERS)
  }

  function isAvailable (chunk: number, isImported: boolean, now: number): boolean {
    if (holders[chunk] === 0) return false
    for (const peer of peers.values()) {
      const mayRequest = peer.requestScope === 'everything' || (peer.requestScope === 'imported' && isImported)
      if (mayRequest && bitmaps.hasBit(peer.has, chunk) && peer.suspendedUntil <= now) return true
    }
    return false
  }

  return {
    holders,
    setPeers,
    noteHave,
    findHolders,
    isAvailable,
    list: () => [...peers.values()],
    find: (node) => peers.get(node),
    noteHolder: (node, chunk) => {
      const peer = peers.get(node)
      if (peer !== undefined) markHolder(peer, chunk)
    },
    suspend: (peer, now) => {
      peer.suspendedUntil = now + Math.min(SUSPEND_MAXIMUM_MS, SUSPEND_BASE_MS * 2 ** peer.failures)
      peer.failures += 1
    }
  }
}
