/** Stores verified pieces of a few versions in memory, and records which peers hold them. */
import * as crypto from 'node:crypto'
import type * as types from '@switchridge/types'
import * as pieceWaiters from '../_lib/pieceWaiters.js'
import * as staging from '../types/index.js'

/** The pieces of one version. */
export interface VersionPieces {
  readonly manifest: staging.StageManifest
  readonly has: (piece: number) => boolean
  readonly get: (piece: number) => Buffer | null
  /** Stores a piece if it matches its digest; returns whether it does. */
  readonly put: (piece: number, bytes: Buffer) => boolean
  /** Resolves when one of the wanted pieces is stored, or after the milliseconds. */
  readonly waitForAny: (wanted: readonly number[], maximumMs: number) => Promise<void>
  readonly count: () => number
  /** Whether every piece is stored. */
  readonly isWhole: () => boolean
  /** Picks one of the wanted pieces for a peer, the one that was picked least often; null when none is stored. */
  readonly pickForPeer: (wanted: readonly number[]) => PickedPiece | null
  /** Records that a peer holds a piece because it was sent from here. */
  readonly recordSent: (piece: number, peer: types.NodeId) => void
  /** Refers to a peer that holds one of the wanted pieces, the one that was referred to least often; null when no usable one is known. */
  readonly refer: (wanted: readonly number[], isUsable: (peer: types.NodeId) => boolean) => Referral | null
}

/** Another peer to request a piece from. */
export interface Referral {
  readonly piece: number
  readonly holder: types.NodeId
}

/** A piece that was picked for a peer. */
export interface PickedPiece {
  readonly piece: number
  readonly bytes: Buffer
}

/** The versions that an agent holds. */
export interface PieceStore {
  /** Returns the pieces of a version, and starts to store it if it is not known. */
  readonly open: (manifest: staging.StageManifest) => VersionPieces
  readonly find: (id: staging.VersionId) => VersionPieces | null
}

/** Number of versions kept in memory; the lowest version is evicted first. */
const MAXIMUM_VERSIONS = 3

/**
 * Creates an empty store.
 *
 * @returns The store.
 */
export function createPieceStore (): PieceStore {
  const versions = new Map<string, VersionPieces>()
  return {
    find: (id) => versions.get(staging.formatVersion(id)) ?? null,
    open: (manifest) => {
      const key = staging.formatVersion(manifest.id)
      const known = versions.get(key)
      if (known !== undefined) return known
      const pieces = createVersionPieces(manifest)
      versions.set(key, pieces)
      if (versions.size > MAXIMUM_VERSIONS) versions.delete(findOldest(versions))
      return pieces
    }
  }
}

function findOldest (versions: ReadonlyMap<string, VersionPieces>): string {
  const sorted = [...versions.entries()].sort(([, left], [, right]) => left.manifest.id.version - right.manifest.id.version)
  return sorted[0]?.[0] ?? ''
}

/**
 * Checks bytes against a digest.
 *
 * @param bytes - The bytes.
 * @param digest - SHA-256 in hexadecimal.
 * @returns Whether they match.
 */
export function matchesDigest (bytes: Buffer, digest: types.Digest | undefined): boolean {
  return crypto.createHash('sha256').update(bytes).digest('hex') === digest
}

function createVersionPieces (manifest: staging.StageManifest): VersionPieces {
  const pieces = new Map<number, Buffer>()
  const timesPicked = new Map<number, number>()
  const waiters = pieceWaiters.createPieceWaiters()
  /** For each piece the peers that hold it, with the number of referrals to each. */
  const holders = new Map<number, Map<types.NodeId, number>>()

  function recordSent (piece: number, peer: types.NodeId): void {
    const known = holders.get(piece) ?? new Map<types.NodeId, number>()
    if (!known.has(peer)) known.set(peer, 0)
    holders.set(piece, known)
  }

  function refer (wanted: readonly number[], isUsable: (peer: types.NodeId) => boolean): Referral | null {
    let best: Referral | null = null
    let bestTimes = Infinity
    for (const piece of wanted) {
      for (const [holder, times] of holders.get(piece) ?? []) {
        if (times >= bestTimes || !isUsable(holder)) continue
        best = { piece, holder }
        bestTimes = times
      }
    }
    if (best !== null) holders.get(best.piece)?.set(best.holder, bestTimes + 1)
    return best
  }

  function pickForPeer (wanted: readonly number[]): PickedPiece | null {
    let best = -1
    for (const piece of wanted) {
      if (!pieces.has(piece)) continue
      if (best === -1 || (timesPicked.get(piece) ?? 0) < (timesPicked.get(best) ?? 0)) best = piece
    }
    if (best === -1) return null
    timesPicked.set(best, (timesPicked.get(best) ?? 0) + 1)
    return { piece: best, bytes: pieces.get(best) as Buffer }
  }

  return {
    manifest,
    pickForPeer,
    recordSent,
    refer,
    waitForAny: waiters.wait,
    has: (piece) => pieces.has(piece),
    get: (piece) => pieces.get(piece) ?? null,
    count: () => pieces.size,
    isWhole: () => pieces.size === manifest.digests.length,
    put: (piece, bytes) => {
      if (pieces.has(piece)) return true
      if (!matchesDigest(bytes, manifest.digests[piece])) return false
      pieces.set(piece, bytes)
      waiters.wake(piece)
      return true
    }
  }
}
