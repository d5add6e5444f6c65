/** Makes the manifest of a file of weights. */
import * as crypto from 'node:crypto'
import * as types from '@switchridge/types'
import type * as transfer from '../types/index.js'

/**
 * Creates a manifest.
 *
 * @param source - The bytes in order, in pieces of any size.
 * @param chunkBytes - Size of a chunk in bytes; the last one may be shorter.
 * @returns The manifest.
 */
export async function createManifest (source: Iterable<Uint8Array> | AsyncIterable<Uint8Array>, chunkBytes: number): Promise<transfer.Manifest> {
  const file = crypto.createHash('sha256')
  const chunks: types.Digest[] = []
  let chunk = crypto.createHash('sha256')
  let filled = 0
  let bytes = 0
  for await (const piece of source) {
    file.update(piece)
    bytes += piece.length
    for (let offset = 0; offset < piece.length;) {
      const end = Math.min(piece.length, offset + chunkBytes - filled)
      chunk.update(piece.subarray(offset, end))
      filled += end - offset
      offset = end
      if (filled < chunkBytes) continue
      chunks.push(types.brandId(chunk.digest('hex')))
      chunk = crypto.createHash('sha256')
      filled = 0
    }
  }
  if (filled > 0) chunks.push(types.brandId(chunk.digest('hex')))
  return { bytes, chunkBytes, fileDigest: types.brandId(file.digest('hex')), chunks }
}

/**
 * Writes a manifest as the bytes that its digest is taken of.
 *
 * @param manifest - The manifest.
 * @returns JSON with a fixed order of keys.
 */
export function formatManifest (manifest: transfer.Manifest): Buffer {
  const { bytes, chunkBytes, fileDigest, chunks } = manifest
  return Buffer.from(JSON.stringify({ bytes, chunkBytes, fileDigest, chunks }))
}

/**
 * Computes the SHA-256 of bytes.
 *
 * @param bytes - The bytes.
 * @returns The digest.
 */
export function computeDigest (bytes: Uint8Array): types.Digest {
  return types.brandId(crypto.createHash('sha256').update(bytes).digest('hex'))
}
