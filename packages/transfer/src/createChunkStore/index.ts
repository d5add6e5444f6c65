/** Stores chunks in memory. Each chunk is verified against its digest before it is stored, and versions with equal chunks share them. */
import * as types from '@switchridge/types'
import * as bitmaps from '../_lib/bitmap.js'
import * as createManifest from '../createManifest/index.js'
import type * as transfer from '../types/index.js'

/** The chunks of one version that the node holds. */
export interface Holding {
  readonly digest: types.Digest
  readonly manifest: transfer.Manifest
  readonly bitmap: bitmaps.Bitmap
  /** Number of chunks held. */
  readonly count: () => number
  readonly isComplete: () => boolean
  readonly has: (chunk: number) => boolean
  readonly get: (chunk: number) => Buffer | undefined
  /** Stores the bytes if they match the digest of the chunk. */
  readonly put: (chunk: number, bytes: Buffer) => types.Outcome<null, types.DigestMismatchError>
  /** Numbers of the chunks that are not held, in ascending order. */
  readonly missing: () => number[]
}

/** All versions that the node holds, completely or partially. */
export interface ChunkStore {
  /** Opens a version, unless it does not fit in memory beside all open ones; it begins with the chunks that it shares with them. */
  readonly open: (digest: types.Digest, manifest: transfer.Manifest) => types.Outcome<Holding, StoreFullError>
  readonly find: (digest: types.Digest) => Holding | undefined
  readonly drop: (digest: types.Digest) => void
  readonly digests: () => readonly types.Digest[]
  /** Bytes of all chunks held. */
  readonly usedBytes: () => number
}

/** The version does not fit in the memory configured for chunks. */
export class StoreFullError extends types.SwitchridgeError {}

interface SharedChunk {
  readonly bytes: Buffer
  references: number
}

/**
 * Creates an empty store.
 *
 * @param memoryBytes - Maximum bytes that the chunks of all versions together may need.
 * @returns The store.
 */
export function createChunkStore (memoryBytes: number): ChunkStore {
  const holdings = new Map<types.Digest, Holding>()
  const sharedChunks = new Map<types.Digest, SharedChunk>()
  let usedBytes = 0

  function addReference (digest: types.Digest, bytes: Buffer): void {
    const existing = sharedChunks.get(digest)
    if (existing === undefined) {
      sharedChunks.set(digest, { bytes, references: 1 })
      usedBytes += bytes.length
    } else {
      existing.references += 1
    }
  }

  function removeReference (digest: types.Digest): void {
    const existing = sharedChunks.get(digest)
    if (existing === undefined) return
    existing.references -= 1
    if (existing.references > 0) return
    sharedChunks.delete(digest)
    usedBytes -= existing.bytes.length
  }

  function createHolding (digest: types.Digest, manifest: transfer.Manifest): Holding {
    const bitmap = bitmaps.createBitmap(manifest.chunks.length)
    let count = 0
    const digestOf = (chunk: number): types.Digest => manifest.chunks[chunk] as types.Digest

    function addChunk (chunk: number, bytes: Buffer): void {
      addReference(digestOf(chunk), bytes)
      bitmaps.setBit(bitmap, chunk)
      count += 1
    }

    manifest.chunks.forEach((chunkDigest, chunk) => {
      const existing = sharedChunks.get(chunkDigest)
      if (existing !== undefined) addChunk(chunk, existing.bytes)
    })

    return {
      digest,
      manifest,
      bitmap,
      count: () => count,
      isComplete: () => count === manifest.chunks.length,
      has: (chunk) => bitmaps.hasBit(bitmap, chunk),
      get: (chunk) => bitmaps.hasBit(bitmap, chunk) ? sharedChunks.get(digestOf(chunk))?.bytes : undefined,
      put: (chunk, bytes) => {
        if (bitmaps.hasBit(bitmap, chunk)) return types.succeed(null)
        if (createManifest.computeDigest(bytes) !== digestOf(chunk)) {
          return types.fail(new types.DigestMismatchError(`chunk ${chunk} of ${digest} does not match its digest`))
        }
        addChunk(chunk, sharedChunks.get(digestOf(chunk))?.bytes ?? bytes)
        return types.succeed(null)
      },
      missing: () => manifest.chunks.map((_, chunk) => chunk).filter((chunk) => !bitmaps.hasBit(bitmap, chunk))
    }
  }

  /** Computes the bytes that all open versions and the given one need when complete. A shared chunk counts once, and a last chunk in full although it may be shorter. */
  function computeRequiredBytes (manifest: transfer.Manifest): number {
    const sizes = new Map<types.Digest, number>()
    for (const each of [...holdings.values()].map((holding) => holding.manifest).concat(manifest)) {
      for (const chunkDigest of each.chunks) sizes.set(chunkDigest, each.chunkBytes)
    }
    return [...sizes.values()].reduce((sum, size) => sum + size, 0)
  }

  return {
    open: (digest, manifest) => {
      const existing = holdings.get(digest)
      if (existing !== undefined) return types.succeed(existing)
      const requiredBytes = computeRequiredBytes(manifest)
      if (requiredBytes > memoryBytes + manifest.chunkBytes) return types.fail(new StoreFullError(`${requiredBytes} bytes of chunks needed, chunk_memory_bytes is ${memoryBytes}`))
      const holding = createHolding(digest, manifest)
      holdings.set(digest, holding)
      return types.succeed(holding)
    },
    find: (digest) => holdings.get(digest),
    drop: (digest) => {
      const holding = holdings.get(digest)
      if (holding === undefined) return
      holdings.delete(digest)
      holding.manifest.chunks.forEach((chunkDigest, chunk) => { if (holding.has(chunk)) removeReference(chunkDigest) })
    },
    digests: () => [...holdings.keys()],
    usedBytes: () => usedBytes
  }
}
