/** Parses a manifest and verifies it against the digest pinned in the table. */
import * as zod from 'zod'
import * as types from '@switchridge/types'
import * as createManifest from '../createManifest/index.js'
import type * as transfer from '../types/index.js'

const DIGEST_PATTERN = /^[0-9a-f]{64}$/

const manifestSchema = zod.strictObject({
  bytes: zod.int().positive(),
  chunkBytes: zod.int().positive(),
  fileDigest: zod.string().regex(DIGEST_PATTERN),
  chunks: zod.array(zod.string().regex(DIGEST_PATTERN)).min(1)
})

/**
 * Parses a manifest.
 *
 * @param bytes - The manifest as received from a peer or the origin.
 * @param digest - The digest pinned in the table.
 * @returns The manifest, or an error when its digest differs or its content is malformed or inconsistent.
 */
export function parseManifest (bytes: Uint8Array, digest: types.Digest): types.Outcome<transfer.Manifest, types.DigestMismatchError> {
  const actualDigest = createManifest.computeDigest(bytes)
  if (actualDigest !== digest) return types.fail(new types.DigestMismatchError(`manifest has digest ${actualDigest}, the table pins ${digest}`))
  try {
    const manifest = manifestSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8'))) as unknown as transfer.Manifest
    if (Math.ceil(manifest.bytes / manifest.chunkBytes) !== manifest.chunks.length) throw new Error('the number of chunks does not fit the size')
    return types.succeed(manifest)
  } catch (thrown) {
    return types.fail(new types.DigestMismatchError(`manifest ${digest} is malformed: ${types.describeError(thrown)}`))
  }
}

/**
 * Computes the size of one chunk.
 *
 * @param manifest - The manifest.
 * @param chunk - Number of the chunk.
 * @returns The size in bytes.
 */
export function computeChunkBytes (manifest: transfer.Manifest, chunk: number): number {
  return Math.min(manifest.chunkBytes, manifest.bytes - chunk * manifest.chunkBytes)
}
