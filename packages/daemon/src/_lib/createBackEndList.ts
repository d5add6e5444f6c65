/** The backend servers listed by service discovery. Each state of an entry is parsed only once. */
import type * as gateway from '@switchridge/gateway'
import * as platform from '@switchridge/platform'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'

/** Options of {@link createBackEndList}. */
export interface BackEndListOptions {
  /** Returns the number of layers of the models of a service; entries state how many of them a backend server holds. */
  readonly layersOf: (service: types.ServiceName) => number
  /** Whether a process other than a backend server listens at an address of the form IP:PORT, so that an entry with it can't be right; none is reserved if absent. */
  readonly isReserved?: (address: string) => boolean
  /** Called for each state of an entry that cannot be used: once if it can't be parsed, at each update if its address is reserved. */
  readonly onUnreadable: (object: store.StoredObject, error: types.InvalidInputError) => void
}

/** The listed backend servers. */
export interface BackEndList {
  readonly all: () => readonly gateway.BackEnd[]
  /** Returns the backend servers listed with an address of the form IP:PORT; only one of them can be there. */
  readonly at: (address: string) => readonly gateway.BackEnd[]
  /** Returns the other backend servers that are listed with the address of one. */
  readonly othersAtAddressOf: (id: types.NodeId) => readonly gateway.BackEnd[]
  /** Replaces the list with the current entries. Must also be called when the number of layers of a service has changed. */
  readonly update: (objects: ReadonlyMap<string, store.StoredObject>) => void
}

const ENTRY_SUBJECT = 'entry of a back end'
const NONE: readonly gateway.BackEnd[] = []

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
export function createBackEndList ({ layersOf, isReserved = () => false, onUnreadable }: BackEndListOptions): BackEndList {
  /** {@link BackEndList} is given all entries again when one has changed; the cache avoids parsing the unchanged ones. */
  const parseCache = new WeakMap<store.StoredObject, CachedEntry>()
  let backEnds: readonly gateway.BackEnd[] = []
  let byAddress: ReadonlyMap<string, readonly gateway.BackEnd[]> = new Map()
  /** Only those that share their address, so that the usual look-up finds an empty map. */
  let othersById: ReadonlyMap<types.NodeId, readonly gateway.BackEnd[]> = new Map()

  function parse (object: store.StoredObject): gateway.BackEnd | null {
    const cached = parseCache.get(object)
    if (cached !== undefined && (cached.backEnd === null || cached.layers === layersOf(cached.backEnd.service))) return cached.backEnd
    const parsed = platform.parseBackEnd(object, (service) => layersOf(service as types.ServiceName))
    if (!parsed.ok) onUnreadable(object, parsed.error)
    const backEnd = parsed.ok ? parsed.value : null
    parseCache.set(object, { backEnd, layers: backEnd === null ? 0 : layersOf(backEnd.service) })
    return backEnd
  }

  function isUsable (object: store.StoredObject, { address }: gateway.BackEnd): boolean {
    const text = formatAddress(address)
    if (!isReserved(text)) return true
    onUnreadable(object, new types.InvalidInputError(ENTRY_SUBJECT, [{ place: 'address', given: text, allowed: 'an address at which no gateway and no store listens' }]))
    return false
  }

  function read (object: store.StoredObject): readonly gateway.BackEnd[] {
    const backEnd = parse(object)
    return backEnd !== null && isUsable(object, backEnd) ? [backEnd] : []
  }

  return {
    all: () => backEnds,
    at: (address) => byAddress.get(address) ?? NONE,
    othersAtAddressOf: (id) => othersById.get(id) ?? NONE,
    update: (objects) => {
      backEnds = [...objects.values()].flatMap(read)
      byAddress = groupByAddress(backEnds)
      const shared = [...byAddress.values()].filter((group) => group.length > 1)
      othersById = new Map(shared.flatMap((group) => group.map(({ id }) => [id, group.filter((other) => other.id !== id)])))
    }
  }
}

function groupByAddress (backEnds: readonly gateway.BackEnd[]): Map<string, gateway.BackEnd[]> {
  const groups = new Map<string, gateway.BackEnd[]>()
  for (const backEnd of backEnds) types.getOrCreate(groups, formatAddress(backEnd.address), () => []).push(backEnd)
  return groups
}

function formatAddress ({ host, port }: types.Address): string {
  return `${host}:${port}`
}
