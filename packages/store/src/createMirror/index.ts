/** A copy of all objects of one kind: listed once, then kept by a watch, or brought up to date by changes from a peer. */
import * as types from '@switchridge/types'
import * as digestObjects from '../_lib/digestObjects.js'

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
  /** Removes an object if it is still at a revision; one that is gone already counts as removed. */
  readonly remove: (kind: string, name: string, revision: number) => Promise<types.Outcome<null, types.ConflictError | types.UnavailableError>>
}

/** How far a copy is, so that two copies can be compared without sending them. */
export interface CopyState {
  /** Revision up to which the copy shows all changes; 0 before it knows anything. */
  readonly at: number
  /** Of the names and revisions of its objects; copies of equal content have equal digests. */
  readonly digest: string
}

/** What changed in a copy after a revision, as peers tell it each other. */
export interface CopyChanges extends CopyState {
  readonly kind: string
  /** Changes after this revision are told; 0 stands for a whole copy. */
  readonly since: number
  readonly objects: readonly StoredObject[]
  /** Names that were removed after `since` and are not there at `at`. */
  readonly gone: readonly string[]
}

/** What became of changes that were offered: `unfit` asks for a whole copy, `false-digest` is the sender's fault. */
export type ChangesVerdict = 'applied' | 'older' | 'unfit' | 'false-digest'

/** A copy of one kind. */
export interface Mirror {
  readonly kind: string
  readonly objects: () => ReadonlyMap<string, StoredObject>
  readonly state: () => CopyState
  readonly isKnown: () => boolean
  readonly applyList: (listed: ListedObjects) => void
  readonly applyEvents: (watched: WatchedEvents) => void
  /** Notes that a copy of equal content is complete up to a later revision; listeners are not told. */
  readonly confirm: (state: CopyState) => boolean
  /** What changed after a revision; a whole copy when the removals since then are not known. */
  readonly changesSince: (since: number) => CopyChanges
  /** Takes a peer's changes if they are later and join on to this copy. */
  readonly applyChanges: (changes: CopyChanges) => ChangesVerdict
  /** Registers a listener of changes. */
  readonly onChange: (listener: () => void) => void
}

/** A kind without objects is known before the store's first revision, and after 0, which stands for never listed. */
const BEFORE_FIRST_REVISION = 0.5
/** Removals that are remembered, some ten times the back ends of a large fleet; a peer that is further behind gets a whole copy. */
const MAXIMUM_REMOVALS = 10_000

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
  let state: CopyState = { at: 0, digest: digestObjects.digestObjects([]) }
  let isKnown = false
  /** Revisions at which names were seen to be removed, the oldest first. */
  const removals = new Map<string, number>()
  let removalsFrom = 0
  const listeners: Array<() => void> = []

  function noteRemoval (name: string, at: number): void {
    removals.delete(name)
    removals.set(name, at)
    if (removals.size <= MAXIMUM_REMOVALS) return
    const [oldest, oldestAt] = removals.entries().next().value as [string, number]
    removals.delete(oldest)
    removalsFrom = oldestAt
  }

  /** Takes over the next content; listeners hear of it only if it differs. */
  function adopt (next: Map<string, StoredObject>, at: number, digest = digestObjects.digestObjects(next.values())): void {
    if (!isKnown) removalsFrom = at
    for (const name of objects.keys()) if (!next.has(name)) noteRemoval(name, at)
    for (const name of removals.keys()) if (next.has(name)) removals.delete(name)
    const isNew = !isKnown || digest !== state.digest
    objects = next
    state = { at, digest }
    isKnown = true
    if (isNew) for (const listener of listeners) listener()
  }

  /** All objects as of a revision; what is known to have changed after it stays. */
  function replaceAll (listed: readonly StoredObject[], at: number): Map<string, StoredObject> {
    const next = new Map(listed.map((object) => [object.name, object]))
    for (const known of objects.values()) {
      if (known.revision > Math.max(at, next.get(known.name)?.revision ?? 0)) next.set(known.name, known)
    }
    return next
  }

  function applyList (listed: ListedObjects): void {
    if (listed.at < state.at) return
    adopt(replaceAll(listed.objects, listed.at), Math.max(listed.at, BEFORE_FIRST_REVISION))
  }

  function applyEvents (watched: WatchedEvents): void {
    if (!isKnown || watched.at <= state.at) return
    const next = new Map(objects)
    for (const event of watched.events) applyEvent(next, event)
    adopt(next, watched.at)
  }

  function applyEvent (next: Map<string, StoredObject>, event: StoreEvent): void {
    const { name, revision } = event.object
    const known = next.get(name)
    if (known !== undefined && known.revision > revision) return
    if (event.isGone) next.delete(name)
    else if (known !== undefined || revision > state.at) next.set(name, event.object)
  }

  /** Copies that are asked for from two revisions with no change between them are the same. */
  function findLastChange (since: number): number {
    let last = removalsFrom
    for (const { revision } of objects.values()) if (revision <= since && revision > last) last = revision
    for (const at of removals.values()) if (at <= since && at > last) last = at
    return last
  }

  function changesSince (since: number): CopyChanges {
    if (!isKnown || since < removalsFrom) return { kind, since: 0, ...state, objects: [...objects.values()], gone: [] }
    const changed = [...objects.values()].filter((object) => object.revision > since)
    const gone = [...removals].filter(([, at]) => at > since).map(([name]) => name)
    return { kind, since: findLastChange(since), ...state, objects: changed, gone }
  }

  function applyChanges (changes: CopyChanges): ChangesVerdict {
    if (changes.kind !== kind || changes.at <= state.at) return 'older'
    if (changes.since === 0) return applyWhole(changes)
    if (state.at < changes.since) return 'unfit'
    const next = new Map(objects)
    for (const name of changes.gone) if ((next.get(name)?.revision ?? Infinity) <= changes.at) next.delete(name)
    for (const object of changes.objects) if ((next.get(object.name)?.revision ?? 0) <= object.revision) next.set(object.name, object)
    if (digestObjects.digestObjects(next.values()) !== changes.digest) return 'unfit'
    adopt(next, changes.at, changes.digest)
    return 'applied'
  }

  function applyWhole (changes: CopyChanges): ChangesVerdict {
    if (digestObjects.digestObjects(changes.objects) !== changes.digest) return 'false-digest'
    adopt(replaceAll(changes.objects, changes.at), changes.at)
    return 'applied'
  }

  return {
    kind,
    applyList,
    applyEvents,
    changesSince,
    applyChanges,
    objects: () => objects,
    state: () => state,
    isKnown: () => isKnown,
    confirm: (other) => {
      if (!isKnown || other.at <= state.at || other.digest !== state.digest) return false
      state = { at: other.at, digest: state.digest }
      return true
    },
    onChange: (listener) => { listeners.push(listener) }
  }
}
