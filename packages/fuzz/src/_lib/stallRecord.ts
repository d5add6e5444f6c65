/** Records the times in which this process did not run its event loop, so that they are not taken for silence of others. */

/** A running record. */
export interface StallRecord {
  /** Milliseconds of stalls between two times of the monotonic clock. */
  readonly readMs: (from: number, to: number) => number
  readonly longestMs: () => number
  readonly stop: () => void
}

const TICK_MS = 10
/** Shorter delays of a timer are usual. */
const SHORTEST_STALL_MS = 20

/** Starts a record. */
export function createStallRecord (): StallRecord {
  const stalls: Array<{ readonly from: number, readonly to: number }> = []
  let lastAt = performance.now()
  const timer = setInterval(() => {
    const from = lastAt + TICK_MS
    lastAt = performance.now()
    if (lastAt - from > SHORTEST_STALL_MS) stalls.push({ from, to: lastAt })
  }, TICK_MS)
  return {
    readMs: (from, to) => stalls.reduce((sum, stall) => sum + Math.max(0, Math.min(to, stall.to) - Math.max(from, stall.from)), 0),
    longestMs: () => Math.max(0, ...stalls.map((stall) => stall.to - stall.from)),
    stop: () => { clearInterval(timer) }
  }
}
