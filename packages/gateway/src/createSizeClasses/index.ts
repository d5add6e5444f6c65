/** Classifies calls by how large they are among the recent calls of their route. */

/** `largest`: the largest tenth, `large`: the fifth just below it, `usual`: all others. */
export type SizeClass = 'usual' | 'large' | 'largest'

/** The sizes of recent calls. */
export interface SizeClasses {
  /**
   * Records a call.
   *
   * @param route - Name of its route; sizes are compared within a route.
   * @param size - Its size in any unit that is the same for all calls of the route.
   * @returns Its class; `usual` while few sizes are known.
   */
  readonly classify: (route: string, size: number) => SizeClass
}

interface RecentSizes {
  /** The last sizes; the oldest one is replaced first. */
  readonly sizes: number[]
  nextAt: number
  recorded: number
  largeAbove: number
  largestAbove: number
}

/** Number of recent calls that sizes are compared with. */
const RECENT_CALLS = 200
/** Number of calls between two computations of the limits of classes, and before the first one. */
const UPDATE_INTERVAL_CALLS = 20
const LARGE_QUANTILE = 0.7
const LARGEST_QUANTILE = 0.9

/**
 * Creates the classes, without any sizes yet.
 *
 * @returns The classes.
 */
export function createSizeClasses (): SizeClasses {
  const routes = new Map<string, RecentSizes>()

  return {
    classify: (route, size) => {
      const recent = routes.get(route) ?? { sizes: [], nextAt: 0, recorded: 0, largeAbove: Infinity, largestAbove: Infinity }
      routes.set(route, recent)
      recent.sizes[recent.nextAt] = size
      recent.nextAt = (recent.nextAt + 1) % RECENT_CALLS
      recent.recorded += 1
      if (recent.recorded % UPDATE_INTERVAL_CALLS === 0) updateLimits(recent)
      if (size > recent.largestAbove) return 'largest'
      return size > recent.largeAbove ? 'large' : 'usual'
    }
  }
}

function updateLimits (recent: RecentSizes): void {
  const sorted = [...recent.sizes].sort((left, right) => left - right)
  recent.largeAbove = readQuantile(sorted, LARGE_QUANTILE)
  recent.largestAbove = readQuantile(sorted, LARGEST_QUANTILE)
}

/** The size that this fraction of the sorted sizes does not exceed. */
function readQuantile (sorted: readonly number[], fraction: number): number {
  return sorted[Math.ceil(fraction * sorted.length) - 1] ?? Infinity
}
