/** The answer of an engine: bytes of its weights at places that the prompt chooses. */
import * as crypto from 'node:crypto'

const TOKEN_BYTES = 8
const OFFSET_BYTES = 6

/**
 * Computes one token of an answer.
 *
 * @param weights - All bytes that the engine holds for the version.
 * @param prompt - The caller's prompt.
 * @param index - Number of the token.
 * @returns The token; it is another one when the bytes behind it are.
 */
export function computeToken (weights: Buffer, prompt: string, index: number): string {
  const digest = crypto.createHash('sha256').update(`${prompt}\n${index}`).digest()
  const offset = digest.readUIntBE(0, OFFSET_BYTES) % (weights.length - TOKEN_BYTES)
  return weights.subarray(offset, offset + TOKEN_BYTES).toString('hex')
}

/**
 * Computes a whole answer.
 *
 * @param weights - All bytes of the version.
 * @param prompt - The caller's prompt.
 * @param tokens - Number of tokens.
 * @returns The tokens in order.
 */
export function computeAnswer (weights: Buffer, prompt: string, tokens: number): string[] {
  return Array.from({ length: tokens }, (_, index) => computeToken(weights, prompt, index))
}
