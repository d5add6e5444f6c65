/** When an engine that has nothing to serve with will serve, so that callers can be told when to come back. */

/** What the estimate depends on. */
export interface ServingInput {
  /** Pieces that are still missing. */
  readonly missing: number
  /** Pieces that have come, and the milliseconds since the fetch began. */
  readonly received: number
  readonly elapsedMs: number
  /** Milliseconds that the link needs for a piece. */
  readonly pieceMs: number
}

/** Milliseconds from the last piece until the engine serves: the stage is written and verified (90 ms), the layers are loaded (300 ms). */
const LOAD_MS = 400

/**
 * Estimates by the pace at which pieces have come so far, which is never above that of the link.
 *
 * @param input - What is missing, and the pace.
 * @returns Milliseconds until the engine serves.
 */
export function estimateServing ({ missing, received, elapsedMs, pieceMs }: ServingInput): number {
  const paceMs = received === 0 ? pieceMs : Math.max(pieceMs, elapsedMs / received)
  return missing * paceMs + LOAD_MS
}
