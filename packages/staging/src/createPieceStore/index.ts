/** Verified pieces of a few versions in memory, and callers that wait for them. */
import * as crypto from 'node:crypto'
import type * as types from '@switchridge/types'
import * as staging from '../types/index.js'

/** The pieces of one version. */
export interface VersionPieces {
  readonly manifest: staging.StageManifest
  readonly has: (piece: number) => boolean
  readonly get: (piece: number) => Buffer | null
  /** Keeps a piece if it matches its digest. */
  readonly put: (piece: number, bytes: Buffer) => boolean
  readonly count: () => number
  readonly isWhole: () => boolean
  /** Waits until the piece is here; null when the time is over. */
  readonly waitFor: (piece: number, waitMs: number) => Promise<Buffer | null>
  /** Registers a listener of new pieces. */
  readonly onPiece: (listener: (piece: number) => void) => void
}

/** The versions that an agent holds. */
export interface PieceStore {
  readonly open: (manifest: staging.StageManifest) => VersionPieces
  readonly find: (id: staging.VersionId) => VersionPieces | null
}

/** Versions kept in memory; older ones go first. */
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
  const listeners = new Set<(piece: number) => void>()

  async function waitFor (piece: number, waitMs: number): Promise<Buffer | null> {
    const held = pieces.get(piece)
    if (held !== undefined) return held
    return await new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        listeners.delete(onArrival)
        resolve(pieces.get(piece) ?? null)
      }
      const onArrival = (arrived: number): void => { if (arrived === piece) finish() }
      const timer = setTimeout(finish, waitMs)
      listeners.add(onArrival)
    })
  }

  return {
    manifest,
    waitFor,
    has: (piece) => pieces.has(piece),
    get: (piece) => pieces.get(piece) ?? null,
    count: () => pieces.size,
    isWhole: () => pieces.size === manifest.digests.length,
    onPiece: (listener) => { listeners.add(listener) },
    put: (piece, bytes) => {
      if (pieces.has(piece)) return true
      if (!matchesDigest(bytes, manifest.digests[piece])) return false
      pieces.set(piece, bytes)
      for (const listener of [...listeners]) listener(piece)
      return true
    }
  }
}
