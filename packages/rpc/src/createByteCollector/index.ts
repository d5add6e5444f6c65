/** Collects bytes in storage of its own, whose size has a bound. */
import * as types from '@switchridge/types'

/** What became of bytes: `too-large` if they exceed the bound, `not-held` if the account refused the memory for them. */
export type Collected = 'collected' | 'too-large' | 'not-held'

/** Bytes that arrive in parts. */
export interface ByteCollector {
  /** Copies a part. If it isn't collected, everything is released, and no further part is collected. */
  readonly append: (part: Uint8Array) => Collected
  /** Number of bytes collected. */
  readonly readLength: () => number
  /** Memory in bytes that is held for them. */
  readonly readHeldBytes: () => number
  /** Hands over the bytes collected; the collector holds nothing afterwards. */
  readonly take: () => Buffer
  /** Discards the bytes collected. */
  readonly release: () => void
}

/** Least memory that is held and reported, which covers the objects of a collector, too. */
const MINIMUM_HELD_BYTES = types.BYTES_IN_KIBIBYTE
const GROWTH_FACTOR = 2
/** Storage that is larger isn't grown but followed by more of this size, since what it had grown from would wait for the garbage collector. */
const MAXIMUM_BLOCK_BYTES = 256 * types.BYTES_IN_KIBIBYTE
const NOTHING = Buffer.alloc(0)

/**
 * Creates a collector. It keeps no reference to the parts, each of which may be a slice of a much larger buffer, so that it holds at most its bound, however small
 * the parts are.
 *
 * @param maximumBytes - Largest number of bytes that is collected, which its storage doesn't exceed either.
 * @param mayHold - Called with the memory in bytes that is needed, for each part before it is copied; returns whether it may be held.
 * @returns The collector, which is empty.
 */
export function createByteCollector (maximumBytes: number, mayHold: (heldBytes: number) => boolean = () => true): ByteCollector {
  /** Full blocks, and the one that is being filled, with the number of bytes in it. */
  let blocks: Buffer[] = []
  let blockBytes = 0
  let storage = NOTHING
  let storedBytes = 0
  let refusal: Exclude<Collected, 'collected'> | null = null

  function release (): void {
    blocks = []
    blockBytes = 0
    storage = NOTHING
    storedBytes = 0
  }

  function refuse (reason: Exclude<Collected, 'collected'>): Collected {
    release()
    refusal = reason
    return reason
  }

  /** Storage of a block for so many bytes: the present one, or one that is larger by a factor, so that all bytes are copied a few times at most. */
  function computeCapacity (neededBytes: number): number {
    if (neededBytes <= storage.length) return storage.length
    return Math.min(maximumBytes - blockBytes, MAXIMUM_BLOCK_BYTES, Math.max(neededBytes, GROWTH_FACTOR * storage.length, MINIMUM_HELD_BYTES))
  }

  /** Copies as much of a part as the present block takes; returns the number of bytes, or null if the memory for them was refused. */
  function fill (part: Uint8Array): number | null {
    if (storedBytes === MAXIMUM_BLOCK_BYTES) {
      blocks.push(storage)
      blockBytes += storedBytes
      storage = NOTHING
      storedBytes = 0
    }
    const capacity = computeCapacity(storedBytes + part.length)
    if (!mayHold(Math.max(blockBytes + capacity, MINIMUM_HELD_BYTES))) return null
    if (capacity > storage.length) {
      // Buffers from the pool of Node.js would keep alive what is not theirs.
      const larger = Buffer.allocUnsafeSlow(capacity)
      storage.copy(larger, 0, 0, storedBytes)
      storage = larger
    }
    const bytes = Math.min(part.length, storage.length - storedBytes)
    storage.set(part.subarray(0, bytes), storedBytes)
    storedBytes += bytes
    return bytes
  }

  return {
    append: (part) => {
      if (refusal !== null) return refusal
      if (blockBytes + storedBytes + part.length > maximumBytes) return refuse('too-large')
      for (let offset = 0; ;) {
        const bytes = fill(part.subarray(offset))
        if (bytes === null) return refuse('not-held')
        offset += bytes
        if (offset >= part.length) return 'collected'
      }
    },
    readLength: () => blockBytes + storedBytes,
    readHeldBytes: () => blockBytes + storage.length === 0 ? 0 : Math.max(blockBytes + storage.length, MINIMUM_HELD_BYTES),
    take: () => {
      const last = storage.subarray(0, storedBytes)
      const bytes = blocks.length === 0 ? last : Buffer.concat([...blocks, last], blockBytes + storedBytes)
      release()
      return bytes
    },
    release
  }
}
