/** Finds the common target used to admit competing calls of one service, even if some of them have longer targets. */
import type * as types from '@switchridge/types'

/** Properties of a call that decide which other calls it competes with. */
export interface CallClass {
  readonly service: types.ServiceName
  /** 0 is the highest. */
  readonly priority: number
  /** Milliseconds within which the first event counts as in time. */
  readonly targetMs: number
}

/** Targets shared by competing calls. */
export interface SharedTargets {
  /** Records a call; returns the target in milliseconds to admit it by. */
  readonly note: (callClass: CallClass) => number
}

/** A class without a call for this long no longer affects others. */
const CLASS_EXPIRY_MS = 5000
/** Lower bound as a fraction of a call's own target, so that a rare class with a very short target does not exclude all others. */
const MINIMUM_TARGET_FRACTION = 0.6

/**
 * Creates the shared targets. While a queue stands, calls with the longest targets would take every slot, so all calls of the same priority are admitted
 * by the shortest target. Targets of higher-priority calls also apply to lower-priority ones, but not the reverse.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The shared targets.
 */
export function createSharedTargets (now: () => number): SharedTargets {
  const classesByService = new Map<types.ServiceName, Map<string, { readonly kind: CallClass, at: number }>>()

  return {
    note: (callClass) => {
      const classes = classesByService.get(callClass.service) ?? new Map<string, { readonly kind: CallClass, at: number }>()
      classesByService.set(callClass.service, classes)
      classes.set(`${callClass.priority}/${callClass.targetMs}`, { kind: callClass, at: now() })
      let sharedMs = callClass.targetMs
      for (const [key, other] of classes) {
        if (now() - other.at > CLASS_EXPIRY_MS) classes.delete(key)
        else if (other.kind.priority <= callClass.priority) sharedMs = Math.min(sharedMs, other.kind.targetMs)
      }
      return Math.max(sharedMs, callClass.targetMs * MINIMUM_TARGET_FRACTION)
    }
  }
}
