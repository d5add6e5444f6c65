/** What a download knows of its peers: who holds which chunk, who is busy, who is left alone for a while. */
import type * as types from '@switchridge/types'
import * as bitmaps from '../_lib/bitmap.js'
import type * as transfer from '../types/index.js'

/** The peers of one download. */
export interface PeerBook {
  readonly list: () => readonly transfer.PeerState[]
  readonly find: (node: types.NodeId) => transfer.PeerState | undefined
  /** Number of known holders by chunk. */
  readonly holders: Uint16Array
  /** Replaces the peers; what is known of those that stay at their address is kept. */
  readonly setPeers: (peers: readonly transfer.Peer[], reach: (peer: transfer.Peer) => transfer.PeerReach) => void
  /** Notes a peer's bitmap in base64; an empty or malformed one says nothing. */
  readonly noteHave: (node: types.NodeId, have: string) => void
  /** Notes that a node holds a chunk. */
  readonly noteHolder: (node: types.NodeId, chunk: number) => void
  /** A few nodes known to hold a chunk. */
  readonly findHolders: (chunk: number) => readonly types.NodeId[]
  /** Whether a peer that may be asked now holds the chunk. */
  readonly isAvailable: (chunk: number, isImported: boolean, now: number) => boolean
  /** Leaves a peer alone, longer with each failure in a row. */
  readonly suspend: (peer: transfer.PeerState, now: number) => void
}

const BITS_IN_BYTE = 8
const SUSPEND_BASE_MS = 500
const SUSPEND_MAXIMUM_MS = 4000
const REDIRECTED_HOLDERS = 4

/**
 * Creates an empty book.
 *
 * @param size - Number of chunks.
 * @param random - Random number from 0 to 1.
 * @returns The book.
 */
export function createPeerBook (size: number, random: () => number): PeerBook {
  const peers = new Map<types.NodeId, transfer.PeerState>()
  const holders = new Uint16Array(size)

  function setPeers (members: readonly transfer.Peer[], reach: (peer: transfer.Peer) => transfer.PeerReach): void {
    const known = new Set(members.map((peer) => peer.node))
    for (const node of peers.keys()) if (!known.has(node)) removePeer(node)
    for (const peer of members) addPeer(peer, reach(peer))
  }

  function addPeer (peer: transfer.Peer, reach: transfer.PeerReach): void {
    const known = peers.get(peer.node)
    const isSame = known?.address.port === peer.address.port && known.address.host === peer.address.host
    if (known !== undefined && isSame) {
      known.reach = reach
      return
    }
    removePeer(peer.node)
    peers.set(peer.node, { ...peer, reach, has: bitmaps.createBitmap(size), outstanding: 0, backlog: 0, backlogAt: 0, suspendedUntil: 0, failures: 0 })
  }

  function removePeer (node: types.NodeId): void {
    const peer = peers.get(node)
    peers.delete(node)
    if (peer === undefined) return
    for (let chunk = 0; chunk < size; chunk += 1) if (bitmaps.hasBit(peer.has, chunk)) holders[chunk] = (holders[chunk] ?? 1) - 1
  }

  function noteHave (node: types.NodeId, have: string): void {
    const peer = peers.get(node)
    const bitmap = have === '' ? null : bitmaps.decodeBitmap(have, size)
    if (peer === undefined || bitmap === null) return
    for (let byte = 0; byte < bitmap.length; byte += 1) {
      const fresh = (bitmap[byte] ?? 0) & ~(peer.has[byte] ?? 0)
      if (fresh !== 0) noteFresh(peer, byte, fresh)
    }
  }

  function noteFresh (peer: transfer.PeerState, byte: number, fresh: number): void {
    for (let bit = 0; bit < BITS_IN_BYTE; bit += 1) {
      if ((fresh & (1 << bit)) !== 0) markHolder(peer, byte * BITS_IN_BYTE + bit)
    }
  }

  function markHolder (peer: transfer.PeerState, chunk: number): void {
    if (chunk >= size || bitmaps.hasBit(peer.has, chunk)) return
    bitmaps.setBit(peer.has, chunk)
    holders[chunk] = (holders[chunk] ?? 0) + 1
  }

  function findHolders (chunk: number): types.NodeId[] {
    const found = [...peers.values()].filter((peer) => bitmaps.hasBit(peer.has, chunk)).map((peer) => peer.node)
    const first = Math.floor(random() * Math.max(1, found.length))
    return [...found.slice(first), ...found.slice(0, first)].slice(0, REDIRECTED_HOLDERS)
  }

  function isAvailable (chunk: number, isImported: boolean, now: number): boolean {
    if (holders[chunk] === 0) return false
    for (const peer of peers.values()) {
      const mayAsk = peer.reach === 'everything' || (peer.reach === 'imported' && isImported)
      if (mayAsk && bitmaps.hasBit(peer.has, chunk) && peer.suspendedUntil <= now) return true
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
