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
  let storage = NOTHING
  let length = 0
  let refusal: Exclude<Collected, 'collected'> | null = null

  function release (): void {
    storage = NOTHING
    length = 0
  }

  function refuse (reason: Exclude<Collected, 'collected'>): Collected {
    release()
    refusal = reason
    return reason
  }

  /** Storage for so many bytes: the present one, or one that is larger by a factor, so that all bytes are copied a few times at most. */
  function computeCapacity (neededBytes: number): number {
    if (neededBytes <= storage.length) return storage.length
    return Math.min(maximumBytes, Math.max(neededBytes, GROWTH_FACTOR * storage.length, MINIMUM_HELD_BYTES))
  }

  return {
    append: (part) => {
      if (refusal !== null) return refusal
      const neededBytes = length + part.length
      if (neededBytes > maximumBytes) return refuse('too-large')
      const capacity = computeCapacity(neededBytes)
      if (!mayHold(Math.max(capacity, MINIMUM_HELD_BYTES))) return refuse('not-held')
      if (capacity > storage.length) {
        // Buffers from the pool of Node.js would keep alive what is not theirs.
        const larger = Buffer.allocUnsafeSlow(capacity)
        storage.copy(larger, 0, 0, length)
        storage = larger
      }
      storage.set(part, length)
      length = neededBytes
      return 'collected'
    },
    readLength: () => length,
    readHeldBytes: () => storage === NOTHING ? 0 : Math.max(storage.length, MINIMUM_HELD_BYTES),
    take: () => {
      const bytes = storage.subarray(0, length)
      release()
      return bytes
    },
    release
  }
}
