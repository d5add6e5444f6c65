/** Answers of the engine stand-in: bytes of its weights at offsets derived from the prompt. */
import * as crypto from 'node:crypto'

const TOKEN_BYTES = 8
const OFFSET_BYTES = 6

/**
 * Computes one token of an answer.
 *
 * @param weights - Weights of the version that the engine holds.
 * @param prompt - The caller's prompt.
 * @param index - Index of the token in the answer.
 * @returns The token; wrong weights at its offset give another token.
 */
export function computeToken (weights: Buffer, prompt: string, index: number): string {
  const digest = crypto.createHash('sha256').update(`${prompt}\n${index}`).digest()
  const offset = digest.readUIntBE(0, OFFSET_BYTES) % (weights.length - TOKEN_BYTES)
  return weights.subarray(offset, offset + TOKEN_BYTES).toString('hex')
}

/**
 * Computes a whole answer.
 *
 * @param weights - Weights of the version.
 * @param prompt - The caller's prompt.
 * @param tokens - Number of tokens.
 * @returns The tokens in order.
 */
export function computeAnswer (weights: Buffer, prompt: string, tokens: number): string[] {
  return Array.from({ length: tokens }, (_, index) => computeToken(weights, prompt, index))
}
