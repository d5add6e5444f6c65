/** Finds the target by which calls of one service are admitted alike, whatever longer targets some of them have. */
import type * as types from '@switchridge/types'

/** What is known of a call's kind. */
export interface CallKind {
  readonly service: types.ServiceName
  /** 0 is the highest. */
  readonly priority: number
  /** Milliseconds within which the first event is in time. */
  readonly targetMs: number
}

/** Targets that calls share. */
export interface SharedTargets {
  /** Notes a call; returns the milliseconds by which it is admitted. */
  readonly note: (kind: CallKind) => number
}

/** A kind that nobody asked for during so long competes with none. */
const KEPT_MS = 5000
/** A seldom kind with a very short target does not keep all others out: nobody is held to less than this part of the own target. */
const LEAST_PART = 0.6

/**
 * Creates the record of targets. While a queue stands, whoever may wait longest would take every place; so
 * calls of one urgency are held to the shortest target.
 * A less urgent call is held to the targets of the more urgent ones, too; a more urgent one never to those of the less urgent.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The record.
 */
export function createSharedTargets (now: () => number): SharedTargets {
  const seenAt = new Map<types.ServiceName, Map<string, { readonly kind: CallKind, at: number }>>()

  return {
    note: (kind) => {
      const kinds = seenAt.get(kind.service) ?? new Map<string, { readonly kind: CallKind, at: number }>()
      seenAt.set(kind.service, kinds)
      kinds.set(`${kind.priority}/${kind.targetMs}`, { kind, at: now() })
      let sharedMs = kind.targetMs
      for (const [key, other] of kinds) {
        if (now() - other.at > KEPT_MS) kinds.delete(key)
        else if (other.kind.priority <= kind.priority) sharedMs = Math.min(sharedMs, other.kind.targetMs)
      }
      return Math.max(sharedMs, kind.targetMs * LEAST_PART)
    }
  }
}
