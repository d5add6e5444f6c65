/** Records which back ends have announced that they are about to end, in their responses or in service discovery. */
import * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'

/** Where an announcement was learned from: a response of the back end itself, another gateway, or the list of service discovery. */
export type LeavingSource = 'answer' | 'peer' | 'list'

/** Options of {@link createLeavingRecord}. */
export interface LeavingRecordOptions {
  /** Called with each back end instance that is new to the record. */
  readonly onLeaving: (instance: types.BackEndInstanceId, source: LeavingSource) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Identifies one instance of a back end. */
export type InstanceOfBackEnd = Pick<gateway.BackEnd, 'id' | 'bornAt'>

/** The back ends that one gateway knows to be about to end. */
export interface LeavingRecord {
  /** Records that a response of a back end announced its end. */
  readonly noteResponse: (backEnd: InstanceOfBackEnd) => void
  /** Records an announcement that another gateway received. */
  readonly noteFromPeer: (instance: types.BackEndInstanceId) => void
  /** Records which listed back ends are about to end; the store may list them as ready again after it was restored from an older copy. */
  readonly noteListed: (listed: ReadonlyArray<InstanceOfBackEnd & Pick<gateway.BackEnd, 'isDraining'>>) => void
  readonly isLeaving: (backEnd: InstanceOfBackEnd) => boolean
  /** Number of instances on record. */
  readonly count: () => number
  /** Forgets instances that have not been listed for a while. */
  readonly removeUnlisted: (listed: readonly InstanceOfBackEnd[]) => void
}

/** How long an announcement is remembered after its back end was last listed. An entry may vanish from the list and come back, for example after an outage of the store, while its back end still serves calls. */
export const LEAVING_RETENTION_MS = 300_000

/**
 * Creates an empty record. An announcement is never revoked: an instance that has announced its end ends, and its successor has another id.
 *
 * @param options - Listener and clock.
 * @returns The record.
 */
export function createLeavingRecord ({ onLeaving, now }: LeavingRecordOptions): LeavingRecord {
  /** Monotonic time in milliseconds at which each instance was last listed, or first recorded. */
  const lastListedAt = new Map<types.BackEndInstanceId, number>()

  function toInstanceId ({ id, bornAt }: InstanceOfBackEnd): types.BackEndInstanceId {
    return types.formatBackEndInstanceId(id, bornAt)
  }

  function note (instance: types.BackEndInstanceId, source: LeavingSource): void {
    if (lastListedAt.has(instance)) return
    lastListedAt.set(instance, now())
    onLeaving(instance, source)
  }

  return {
    noteResponse: (backEnd) => { note(toInstanceId(backEnd), 'answer') },
    noteFromPeer: (instance) => { note(instance, 'peer') },
    noteListed: (listed) => { for (const backEnd of listed) if (backEnd.isDraining) note(toInstanceId(backEnd), 'list') },
    isLeaving: (backEnd) => lastListedAt.size > 0 && lastListedAt.has(toInstanceId(backEnd)),
    count: () => lastListedAt.size,
    removeUnlisted: (listed) => {
      const listedIds = new Set(listed.map(toInstanceId))
      for (const [instance, listedAt] of lastListedAt) {
        if (listedIds.has(instance)) lastListedAt.set(instance, now())
        else if (now() - listedAt > LEAVING_RETENTION_MS) lastListedAt.delete(instance)
      }
    }
  }
}
