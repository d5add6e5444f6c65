/** Weights that anybody can compute again from a seed, to check answers against. */
import * as crypto from 'node:crypto'

/** A stretch of a file of weights; versions share stretches with the same seed. */
export interface WeightsPart {
  readonly seed: string
  readonly bytes: number
}

const KEY_BYTES = 16

/**
 * Computes the bytes of a file of weights.
 *
 * @param parts - Its stretches in order.
 * @returns The bytes, the same in every process.
 */
export function computeWeights (parts: readonly WeightsPart[]): Buffer {
  return Buffer.concat(parts.map(({ seed, bytes }) => {
    const key = crypto.createHash('sha256').update(seed).digest().subarray(0, KEY_BYTES)
    return crypto.createCipheriv('aes-128-ctr', key, Buffer.alloc(KEY_BYTES)).update(Buffer.alloc(bytes))
  }))
}
