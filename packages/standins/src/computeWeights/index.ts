/** Pseudo-random weights that can be recomputed from their seeds, to check answers against. */
import * as crypto from 'node:crypto'

/** A contiguous part of a weights file; parts with the same seed and size have the same bytes, so versions can share them. */
export interface WeightsPart {
  readonly seed: string
  readonly bytes: number
}

const KEY_BYTES = 16

/**
 * Computes the bytes of a weights file.
 *
 * @param parts - Parts of the file in order.
 * @returns The bytes, the same in every process.
 */
export function computeWeights (parts: readonly WeightsPart[]): Buffer {
  return Buffer.concat(parts.map(({ seed, bytes }) => {
    const key = crypto.createHash('sha256').update(seed).digest().subarray(0, KEY_BYTES)
    return crypto.createCipheriv('aes-128-ctr', key, Buffer.alloc(KEY_BYTES)).update(Buffer.alloc(bytes))
  }))
}
