/** The backend servers listed by service discovery. Each state of an entry is parsed only once. */
import type * as gateway from '@switchridge/gateway'
import * as platform from '@switchridge/platform'
import type * as store from '@switchridge/store'
import type * as types from '@switchridge/types'

/** Options of {@link createBackEndList}. */
export interface BackEndListOptions {
  /** Returns the number of layers of the models of a service; entries state how many of them a backend server holds. */
  readonly layersOf: (service: types.ServiceName) => number
  /** Called once for each state of an entry that cannot be parsed. */
  readonly onUnreadable: (object: store.StoredObject, error: types.InvalidInputError) => void
}

/** The listed backend servers. */
export interface BackEndList {
  readonly all: () => readonly gateway.BackEnd[]
  /** Returns the backend server at an address of the form IP:PORT; the last listed one if there are several. */
  readonly at: (address: string) => gateway.BackEnd | undefined
  /** Replaces the list with the current entries. Must also be called when the number of layers of a service has changed. */
  readonly update: (objects: ReadonlyMap<string, store.StoredObject>) => void
}

/** Result of parsing an entry, with the number of layers that it was parsed for. */
interface CachedEntry {
  readonly backEnd: gateway.BackEnd | null
  readonly layers: number
}

/**
 * Creates an empty list.
 *
 * @param options - The layers to parse entries with, and the callback for unreadable ones.
 * @returns The list.
 */
export function createBackEndList ({ layersOf, onUnreadable }: BackEndListOptions): BackEndList {
  /** {@link BackEndList} is given all entries again when one has changed; the cache avoids parsing the unchanged ones. */
  const parseCache = new WeakMap<store.StoredObject, CachedEntry>()
  let backEnds: readonly gateway.BackEnd[] = []
  let byAddress: ReadonlyMap<string, gateway.BackEnd> = new Map()

  function parse (object: store.StoredObject): gateway.BackEnd | null {
    const cached = parseCache.get(object)
    if (cached !== undefined && (cached.backEnd === null || cached.layers === layersOf(cached.backEnd.service))) return cached.backEnd
    const parsed = platform.parseBackEnd(object, (service) => layersOf(service as types.ServiceName))
    if (!parsed.ok) onUnreadable(object, parsed.error)
    const backEnd = parsed.ok ? parsed.value : null
    parseCache.set(object, { backEnd, layers: backEnd === null ? 0 : layersOf(backEnd.service) })
    return backEnd
  }

  return {
    all: () => backEnds,
    at: (address) => byAddress.get(address),
    update: (objects) => {
      backEnds = [...objects.values()].flatMap((object) => parse(object) ?? [])
      byAddress = new Map(backEnds.map((backEnd) => [`${backEnd.address.host}:${backEnd.address.port}`, backEnd]))
    }
  }
}
