/** Remembers which parts of prompts calls had that back ends completed; such a part does not crash back ends. */
import type * as types from '@switchridge/types'

/** The parts of completed calls. */
export interface ServedParts {
  /** Records that a call with a part was completed at a monotonic time in milliseconds; returns whether this is later than what was known. */
  readonly note: (part: types.PromptPartId, at: number) => boolean
  /** Monotonic time in milliseconds of the last completed call with a part; -Infinity if none is remembered. */
  readonly servedAt: (part: types.PromptPartId) => number
  readonly size: () => number
}

/**
 * Creates an empty memory.
 *
 * @param maximumParts - Number of parts that are remembered; the one that was noted longest ago is forgotten first.
 * @returns The memory.
 */
export function createServedParts (maximumParts: number): ServedParts {
  /** In the order in which they were last noted. */
  const served = new Map<types.PromptPartId, number>()

  function forgetOldest (): void {
    const [oldest] = served.keys()
    if (oldest !== undefined) served.delete(oldest)
  }

  return {
    servedAt: (part) => served.get(part) ?? -Infinity,
    size: () => served.size,
    note: (part, at) => {
      const before = served.get(part) ?? -Infinity
      served.delete(part)
      served.set(part, Math.max(before, at))
      if (served.size > maximumParts) forgetOldest()
      return at > before
    }
  }
}
