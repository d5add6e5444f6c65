/**
 * Parses bytes that should hold a JSON array.
 *
 * @param bytes - The bytes.
 * @returns The array; an empty one for any other content.
 */
export function parseJsonArray (bytes: Buffer): unknown[] {
  try {
    const parsed: unknown = JSON.parse(bytes.toString())
    return Array.isArray(parsed) ? parsed : []
  } catch {
    return []
  }
}
