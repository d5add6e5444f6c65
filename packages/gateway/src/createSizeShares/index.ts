/** Tracks how often large calls are served compared with all calls of their route, and tells when they fall behind. */
import * as createSizeClasses from '../createSizeClasses/index.js'

/** A call among those of its route. */
export interface SizedCall {
  readonly sizeClass: createSizeClasses.SizeClass
  /** Fraction, from 0 to 1, of the time in which its own prompt is read that agents leave out when they reserve a slot for it; above 0 if its class is behind. */
  readonly readPromptDiscount: () => number
  /** Records that the call is sent to a back end; only the first time counts. */
  readonly noteSent: () => void
  /** Records that the call was not served, even if it was sent. */
  readonly noteUnserved: () => void
}

/** The calls of all routes. */
export interface SizeShares {
  /**
   * Records a call; each try of a caller is one.
   *
   * @param route - Name of its route. Calls whose sizes have different units are recorded under different names.
   * @param size - Its size.
   * @returns The call.
   */
  readonly open: (route: string, size: number) => SizedCall
}

interface RouteShares {
  readonly classes: createSizeClasses.SizeClasses
  /** Recent calls, and how many of them were sent; both decay with each further call. */
  asked: number
  sent: number
  /** Number of calls by which each class is behind the rate that it should be served at; negative if it is ahead. */
  readonly deficits: Record<createSizeClasses.SizeClass, number>
}

/** Rate at which each class should be served at least, as a fraction of the rate of all calls of the route. Half is the least that callers accept; a class is behind before it is noticed. */
const MINIMUM_RATE_FRACTION = 0.6
/** Number of recent calls that determine the rate of a route. */
const RATE_CALLS = 200
/** Deficits stay between these numbers of calls, so that what was served long ago neither delays the effect nor is made up for. */
const LOWEST_DEFICIT = -1
const HIGHEST_DEFICIT = 8
/** Routes that are remembered; those used last stay. */
const MAXIMUM_ROUTES = 1000

/**
 * Creates the shares. Each call raises the deficit of its class by the rate at which the class should be served, and each call that is sent lowers it by one. Only agents make an exception for
 * a class that is behind: they know the newest state of their engines, so that few of its calls are late.
 *
 * @returns The shares, without any calls yet.
 */
export function createSizeShares (): SizeShares {
  const routes = new Map<string, RouteShares>()

  function useRoute (route: string): RouteShares {
    const shares = routes.get(route) ?? { classes: createSizeClasses.createSizeClasses(), asked: 0, sent: 0, deficits: { usual: 0, large: 0, largest: 0 } }
    routes.delete(route)
    routes.set(route, shares)
    for (const oldest of routes.keys()) {
      if (routes.size <= MAXIMUM_ROUTES) break
      routes.delete(oldest)
    }
    return shares
  }

  return {
    open: (route, size) => {
      const shares = useRoute(route)
      const { deficits } = shares
      const sizeClass = shares.classes.classify(size)
      const rate = shares.asked === 0 ? 1 : Math.min(1, shares.sent / shares.asked)
      shares.asked += 1 - shares.asked / RATE_CALLS
      shares.sent -= shares.sent / RATE_CALLS
      let isSent = false

      function addDeficit (calls: number): void {
        deficits[sizeClass] = Math.min(HIGHEST_DEFICIT, Math.max(LOWEST_DEFICIT, deficits[sizeClass] + calls))
      }

      addDeficit(MINIMUM_RATE_FRACTION * rate)
      return {
        sizeClass,
        readPromptDiscount: () => sizeClass === 'usual' ? 0 : Math.min(1, Math.max(0, deficits[sizeClass])),
        noteSent: () => {
          if (isSent) return
          isSent = true
          shares.sent += 1
          addDeficit(-1)
        },
        noteUnserved: () => {
          if (!isSent) return
          isSent = false
          shares.sent = Math.max(0, shares.sent - 1)
          addDeficit(1)
        }
      }
    }
  }
}
