/** Creates the manifest of a weights file. */
import * as crypto from 'node:crypto'
import * as types from '@switchridge/types'
import type * as transfer from '../types/index.js'

/**
 * Creates a manifest.
 *
 * @param source - The bytes of the file in order, in blocks of any size.
 * @param chunkBytes - Size of a chunk in bytes; the last one may be shorter.
 * @returns The manifest.
 */
export async function createManifest (source: Iterable<Uint8Array> | AsyncIterable<Uint8Array>, chunkBytes: number): Promise<transfer.Manifest> {
  const fileHash = crypto.createHash('sha256')
  const chunks: types.Digest[] = []
  let chunkHash = crypto.createHash('sha256')
  let chunkLength = 0
  let bytes = 0
  for await (const block of source) {
    fileHash.update(block)
    bytes += block.length
    for (let offset = 0; offset < block.length;) {
      const end = Math.min(block.length, offset + chunkBytes - chunkLength)
      chunkHash.update(block.subarray(offset, end))
      chunkLength += end - offset
      offset = end
      if (chunkLength < chunkBytes) continue
      chunks.push(types.brandId(chunkHash.digest('hex')))
      chunkHash = crypto.createHash('sha256')
      chunkLength = 0
    }
  }
  if (chunkLength > 0) chunks.push(types.brandId(chunkHash.digest('hex')))
  return { bytes, chunkBytes, fileDigest: types.brandId(fileHash.digest('hex')), chunks }
}

/**
 * Serializes a manifest to the bytes from which its digest is computed.
 *
 * @param manifest - The manifest.
 * @returns JSON with a fixed key order.
 */
export function formatManifest (manifest: transfer.Manifest): Buffer {
  const { bytes, chunkBytes, fileDigest, chunks } = manifest
  return Buffer.from(JSON.stringify({ bytes, chunkBytes, fileDigest, chunks }))
}

/**
 * Computes a SHA-256 digest.
 *
 * @param bytes - The bytes.
 * @returns The digest in hexadecimal.
 */
export function computeDigest (bytes: Uint8Array): types.Digest {
  return types.brandId(crypto.createHash('sha256').update(bytes).digest('hex'))
}
