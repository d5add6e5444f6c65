/** Finds the common target used to admit competing calls of one service, even if some of them have longer targets. */
import type * as types from '@switchridge/types'

/** Properties of a call that decide which other calls it competes with. */
export interface CallClass {
  readonly service: types.ServiceName
  /** 0 is the highest. */
  readonly priority: number
  /** Milliseconds within which the first event counts as in time. */
  readonly targetMs: number
  /** Whether it is for a model engine; priorities of other calls are not compared. */
  readonly hasModel: boolean
}

/** Targets shared by competing calls. */
export interface SharedTargets {
  /** Records a call; returns the target in milliseconds to admit it by. `isContended`: whether so few slots are free that calls of different priorities compete for them. */
  readonly note: (callClass: CallClass, isContended: boolean) => number
}

/** A class without a call for this long no longer affects others. */
const CLASS_EXPIRY_MS = 5000
/** Lower bound as a fraction of a call's own target, so that a rare class with a very short target does not exclude all others. */
const MINIMUM_TARGET_FRACTION = 0.6

/**
 * While slots are contended, the target of a call is multiplied by this for each higher priority with recent calls: of two calls with equal predictions the one of higher priority is
 * admitted, and lower ones only where higher ones leave slots free.
 */
const PRIORITY_FACTOR = 0.7

/**
 * Creates the shared targets. While a queue stands, calls with the longest targets would take every slot, so all calls of the same priority are admitted
 * by the shortest target. Targets of higher-priority calls also apply to lower-priority ones, but not the reverse. Where the priorities of a service's calls differ and slots are contended, a
 * longer target gives a lower priority no advantage.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The shared targets.
 */
export function createSharedTargets (now: () => number): SharedTargets {
  const classesByService = new Map<types.ServiceName, Map<string, { readonly kind: CallClass, at: number }>>()

  return {
    note: (callClass, isContended) => {
      const classes = classesByService.get(callClass.service) ?? new Map<string, { readonly kind: CallClass, at: number }>()
      classesByService.set(callClass.service, classes)
      classes.set(`${callClass.priority}/${callClass.targetMs}/${callClass.hasModel}`, { kind: callClass, at: now() })
      let sharedMs = callClass.targetMs
      const higherPriorities = new Set<number>()
      for (const [key, other] of classes) {
        if (now() - other.at > CLASS_EXPIRY_MS) classes.delete(key)
        else if (other.kind.priority <= callClass.priority) sharedMs = Math.min(sharedMs, other.kind.targetMs)
        if (other.kind.hasModel && callClass.hasModel && other.kind.priority < callClass.priority && classes.has(key)) higherPriorities.add(other.kind.priority)
      }
      if (isContended && higherPriorities.size > 0) return sharedMs * PRIORITY_FACTOR ** higherPriorities.size
      return Math.max(sharedMs, callClass.targetMs * MINIMUM_TARGET_FRACTION)
    }
  }
}
