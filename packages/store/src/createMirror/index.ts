/** A copy of all objects of one kind: listed once, then kept by a watch, or taken from a peer that knows more. */
import * as types from '@switchridge/types'

/** An object as the store holds it. */
export interface StoredObject {
  readonly name: string
  /** Revision of the last change to it; one counter serves the whole store. */
  readonly revision: number
  readonly value: unknown
}

/** A change that a watch tells of. */
export interface StoreEvent {
  readonly object: StoredObject
  readonly isGone: boolean
}

/** All objects of a kind at one revision of the store. */
export interface ListedObjects {
  readonly objects: readonly StoredObject[]
  readonly at: number
}

/** What a watch brought: changes after the revision that was asked for, up to `at`. */
export interface WatchedEvents {
  readonly events: readonly StoreEvent[]
  readonly at: number
}

/** The store no longer knows the changes since the revision asked for. */
export class HistoryGoneError extends types.SwitchridgeError {}

/** Lists and watches whole kinds of objects. */
export interface CollectionStore {
  readonly listAll: (kind: string) => Promise<types.Outcome<ListedObjects, types.UnavailableError>>
  /** Resolves as soon as there are events, or without any when `waitMs` is over. */
  readonly watchAll: (kind: string, from: number, waitMs: number) => Promise<types.Outcome<WatchedEvents, types.UnavailableError | HistoryGoneError>>
  /** Creates an object, or replaces it where `revision` is that of the object. */
  readonly put: (kind: string, name: string, value: unknown, revision: number | null) => Promise<types.Outcome<number, types.ConflictError | types.UnavailableError>>
}

/** A mirror's content as peers tell it each other. */
export interface MirrorSnapshot {
  readonly kind: string
  /** Revision up to which the objects show all changes. */
  readonly changedAt: number
  readonly objects: readonly StoredObject[]
}

/** A copy of one kind. */
export interface Mirror {
  readonly kind: string
  readonly objects: () => ReadonlyMap<string, StoredObject>
  /** Revision up to which all changes are known; 0 before the first list. */
  readonly changedAt: () => number
  readonly isKnown: () => boolean
  readonly applyList: (listed: ListedObjects) => void
  readonly applyEvents: (watched: WatchedEvents) => void
  /** Takes a peer's copy if it shows later changes; an older one is ignored. */
  readonly applySnapshot: (snapshot: MirrorSnapshot) => boolean
  readonly snapshot: () => MirrorSnapshot
  /** Registers a listener of changes. */
  readonly onChange: (listener: () => void) => void
}

/** A kind without objects is known before the store's first revision, and after 0, which stands for never listed. */
const BEFORE_FIRST_REVISION = 0.5

/**
 * Creates an empty mirror. It never goes back: what is older than the last change seen is ignored.
 *
 * @param kind - The kind of the objects.
 * @returns The mirror.
 * @example
 * const mirror = createMirror('members')
 * mirror.applyList({ objects: [], at: 12 })
 */
export function createMirror (kind: string): Mirror {
  let objects = new Map<string, StoredObject>()
  let changedAt = 0
  let isKnown = false
  const listeners: Array<() => void> = []

  function announce (): void {
    for (const listener of listeners) listener()
  }

  function replace (next: readonly StoredObject[], at: number): void {
    objects = new Map(next.map((object) => [object.name, object]))
    changedAt = at
    isKnown = true
    announce()
  }

  function applyList (listed: ListedObjects): void {
    if (listed.at < changedAt) return
    replace(listed.objects, Math.max(listed.at, BEFORE_FIRST_REVISION))
  }

  function applyEvents (watched: WatchedEvents): void {
    if (watched.events.length === 0 || watched.at <= changedAt) return
    const seen = changedAt
    for (const event of watched.events) applyEvent(event, seen)
    changedAt = watched.at
    announce()
  }

  function applyEvent (event: StoreEvent, seen: number): void {
    const { name, revision } = event.object
    const known = objects.get(name)
    if (known !== undefined && known.revision > revision) return
    if (event.isGone) objects.delete(name)
    else if (known !== undefined || revision > seen) objects.set(name, event.object)
  }

  return {
    kind,
    applyList,
    applyEvents,
    objects: () => objects,
    changedAt: () => changedAt,
    isKnown: () => isKnown,
    applySnapshot: (snapshot) => {
      if (snapshot.kind !== kind || snapshot.changedAt <= changedAt) return false
      replace(snapshot.objects, snapshot.changedAt)
      return true
    },
    snapshot: () => ({ kind, changedAt, objects: [...objects.values()] }),
    onChange: (listener) => { listeners.push(listener) }
  }
}
