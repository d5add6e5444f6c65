/** Classifies the calls of one route by how large they are among its recent calls. */

/** `largest`: the largest tenth, `large`: the quarter just below it, `usual`: all others. */
export type SizeClass = 'usual' | 'large' | 'largest'

/** The sizes of a route's recent calls. */
export interface SizeClasses {
  /**
   * Records a call.
   *
   * @param size - Its size, in a unit that is the same for all calls.
   * @returns Its class; `usual` while few sizes are known.
   */
  readonly classify: (size: number) => SizeClass
}

/** Number of recent calls that sizes are compared with. */
const RECENT_CALLS = 200
/** Number of calls between two computations of the limits of classes, and before the first one. */
const UPDATE_INTERVAL_CALLS = 10
/** The limits are estimates, so the class of large calls begins a little below the largest three tenths, all of which are to be served as often as others. */
const LARGE_QUANTILE = 0.65
const LARGEST_QUANTILE = 0.9

/**
 * Creates the classes of a route, without any sizes yet.
 *
 * @returns The classes.
 */
export function createSizeClasses (): SizeClasses {
  /** The last sizes; the oldest one is replaced first. */
  const sizes: number[] = []
  let recordedCount = 0
  let largeAbove = Infinity
  let largestAbove = Infinity

  return {
    classify: (size) => {
      sizes[recordedCount % RECENT_CALLS] = size
      recordedCount += 1
      if (recordedCount % UPDATE_INTERVAL_CALLS === 0) {
        const sorted = [...sizes].sort((left, right) => left - right)
        largeAbove = readQuantile(sorted, LARGE_QUANTILE)
        largestAbove = readQuantile(sorted, LARGEST_QUANTILE)
      }
      if (size > largestAbove) return 'largest'
      return size > largeAbove ? 'large' : 'usual'
    }
  }
}

/** The size that this fraction of the sorted sizes does not exceed. */
function readQuantile (sorted: readonly number[], fraction: number): number {
  return sorted[Math.ceil(fraction * sorted.length) - 1] ?? Infinity
}
