/** A set of chunk numbers, stored as one bit per chunk. */

export type Bitmap = Uint8Array

const BITS_PER_BYTE = 8

export function createBitmap (size: number): Bitmap {
  return new Uint8Array(Math.ceil(size / BITS_PER_BYTE))
}

export function hasBit (bitmap: Bitmap, index: number): boolean {
  return ((bitmap[index >> 3] ?? 0) & (1 << (index & 7))) !== 0
}

export function setBit (bitmap: Bitmap, index: number): void {
  const byte = index >> 3
  if (byte < bitmap.length) bitmap[byte] = (bitmap[byte] ?? 0) | (1 << (index & 7))
}

export function clearBit (bitmap: Bitmap, index: number): void {
  const byte = index >> 3
  if (byte < bitmap.length) bitmap[byte] = (bitmap[byte] ?? 0) & ~(1 << (index & 7))
}

export function encodeBitmap (bitmap: Bitmap): string {
  return Buffer.from(bitmap.buffer, bitmap.byteOffset, bitmap.byteLength).toString('base64')
}

/** Decodes a base64 bitmap for `size` chunks; returns null when its length differs. */
export function decodeBitmap (text: string, size: number): Bitmap | null {
  const bytes = Buffer.from(text, 'base64')
  return bytes.length === Math.ceil(size / BITS_PER_BYTE) ? bytes : null
}

/** Counts the bits that are set; returns 0 for null. */
export function countBits (bitmap: Bitmap | null): number {
  let count = 0
  for (const byte of bitmap ?? []) {
    for (let rest = byte; rest !== 0; rest &= rest - 1) count += 1
  }
  return count
}
