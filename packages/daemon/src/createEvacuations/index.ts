/** Follows which data halls operators are evacuating. */
import * as platform from '@switchridge/platform'
import * as store from '@switchridge/store'
import type * as observability from '@switchridge/observability'

/** Options of {@link createEvacuations}. */
export interface EvacuationsOptions {
  /** Milliseconds after the store acknowledged an evacuation within which nothing may be sent to the hall any more; null if evacuations are not followed. */
  readonly boundMs: number | null
  readonly logger: observability.Logger
  readonly observe: (name: string, milliseconds: number) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** An evacuation in force. */
export interface Evacuation {
  readonly hall: string
  /** Revision of its object in the store. */
  readonly revision: number
  /** Milliseconds since the store accepted it, at most; null if it was there when this daemon started. */
  readonly ageMs: number | null
}

/** The evacuations as one gateway knows them. */
export interface Evacuations {
  /** Local copy of the store's objects; null if evacuations are not followed. */
  readonly mirror: store.Mirror | null
  /** Whether the evacuations have been read, or are not followed. */
  readonly isKnown: () => boolean
  readonly isEvacuated: (zone: string) => boolean
  readonly list: () => Evacuation[]
  /** Registers a listener that is called after each hall whose evacuation begins. */
  readonly onEvacuated: (listener: () => void) => void
  /** Registers a listener that is called with each hall that is taken back into service. */
  readonly onTakenBack: (listener: (hall: string) => void) => void
  /** Records that a request is sent to a hall now. */
  readonly noteSent: (zone: string) => void
}

/**
 * Creates the record of evacuations. It is derived from the store's objects alone: a hall is evacuated while an object with its name exists.
 *
 * @param options - Bound, log and clock.
 * @returns The record; its mirror must be kept in sync with the store.
 */
export function createEvacuations (options: EvacuationsOptions): Evacuations {
  const { boundMs, now } = options
  if (boundMs === null) return { mirror: null, isKnown: () => true, isEvacuated: () => false, list: () => [], onEvacuated: () => {}, onTakenBack: () => {}, noteSent: () => {} }
  const bound = boundMs
  const objects = store.createMirror(platform.OBJECT_KINDS.evacuations)
  /** Evacuated halls with the earliest time at which the store may have accepted the evacuation; null if unknown. */
  const startedAt = new Map<string, number | null>()
  const lastSentAt = new Map<string, number>()
  const evacuatedListeners: Array<() => void> = []
  const takenBackListeners: Array<(hall: string) => void> = []
  /** When the copy was last found to be current; null before the first list. */
  let confirmedAt: number | null = null

  /** The mirror calls its listeners while it applies a change, so a change is at most as old as the last confirmation before it. */
  function confirm<Result> (result: Result): Result {
    confirmedAt = now()
    return result
  }

  function adopt (): void {
    const current = objects.objects()
    const ageMs = confirmedAt === null ? null : Math.round(now() - confirmedAt)
    for (const hall of startedAt.keys()) {
      if (current.has(hall)) continue
      startedAt.delete(hall)
      options.logger.info('evacuation', { hall, isEvacuated: false, revision: objects.state().at, ageMs })
      for (const listener of takenBackListeners) listener(hall)
    }
    for (const [hall, { revision }] of current) {
      if (startedAt.has(hall)) continue
      startedAt.set(hall, confirmedAt)
      options.logger.info('evacuation', { hall, isEvacuated: true, revision, ageMs })
      for (const listener of evacuatedListeners) listener()
      const sentAt = lastSentAt.get(hall)
      if (sentAt !== undefined && confirmedAt !== null) options.observe('evacuation_margin', Math.max(0, bound - Math.max(0, sentAt - confirmedAt)))
    }
  }

  objects.onChange(adopt)
  const mirror: store.Mirror = {
    ...objects,
    applyList: (listed) => {
      const isCurrent = listed.at >= objects.state().at
      objects.applyList(listed)
      if (isCurrent) confirm(null)
    },
    applyEvents: (watched) => {
      const isCurrent = watched.at >= objects.state().at
      objects.applyEvents(watched)
      if (isCurrent) confirm(null)
    },
    advanceIfEqual: (state) => {
      const hasAdvanced = objects.advanceIfEqual(state)
      return hasAdvanced ? confirm(true) : false
    },
    applyChanges: (changes) => {
      const result = objects.applyChanges(changes)
      return result === 'applied' ? confirm(result) : result
    }
  }
  return {
    mirror,
    isKnown: mirror.isInitialized,
    isEvacuated: (zone) => startedAt.has(zone),
    list: () => [...objects.objects().values()].map(({ name, revision }) => {
      const at = startedAt.get(name) ?? null
      return { hall: name, revision, ageMs: at === null ? null : Math.round(now() - at) }
    }),
    onEvacuated: (listener) => { evacuatedListeners.push(listener) },
    onTakenBack: (listener) => { takenBackListeners.push(listener) },
    noteSent: (zone) => { lastSentAt.set(zone, now()) }
  }
}
