/** The back ends that service discovery lists, parsed once for each state of an entry. */
import type * as gateway from '@switchridge/gateway'
import * as platform from '@switchridge/platform'
import type * as store from '@switchridge/store'
import type * as types from '@switchridge/types'

/** Options of {@link createBackEndList}. */
export interface BackEndListOptions {
  /** Layers that models of a service have; entries tell how many of them a back end holds. */
  readonly layersOf: (service: types.ServiceName) => number
  /** Told once of each state of an entry that names no back end. */
  readonly onUnreadable: (object: store.StoredObject, error: types.InvalidInputError) => void
}

/** The list. */
export interface BackEndList {
  readonly all: () => readonly gateway.BackEnd[]
  /** The back end at an address of the form IP:PORT, the last one listed if there are several. */
  readonly at: (address: string) => gateway.BackEnd | undefined
  /** Takes over the entries as they are now; also called when the layers of a service have changed. */
  readonly adopt: (objects: ReadonlyMap<string, store.StoredObject>) => void
}

/** An entry as it was last parsed, with the layers that models of its service had then. */
interface ParsedEntry {
  readonly backEnd: gateway.BackEnd | null
  readonly layers: number
}

/**
 * Creates an empty list.
 *
 * @param options - What entries are read with, and who hears of those that can't be.
 * @returns The list.
 */
export function createBackEndList ({ layersOf, onUnreadable }: BackEndListOptions): BackEndList {
  /** Every change of one entry tells of all of them, which would be parsed anew each time. */
  const parsedEntries = new WeakMap<store.StoredObject, ParsedEntry>()
  let backEnds: readonly gateway.BackEnd[] = []
  let byAddress: ReadonlyMap<string, gateway.BackEnd> = new Map()

  function parse (object: store.StoredObject): gateway.BackEnd | null {
    const known = parsedEntries.get(object)
    if (known !== undefined && (known.backEnd === null || known.layers === layersOf(known.backEnd.service))) return known.backEnd
    const parsed = platform.parseBackEnd(object, (service) => layersOf(service as types.ServiceName))
    if (!parsed.ok) onUnreadable(object, parsed.error)
    const backEnd = parsed.ok ? parsed.value : null
    parsedEntries.set(object, { backEnd, layers: backEnd === null ? 0 : layersOf(backEnd.service) })
    return backEnd
  }

  return {
    all: () => backEnds,
    at: (address) => byAddress.get(address),
    adopt: (objects) => {
      backEnds = [...objects.values()].flatMap((object) => parse(object) ?? [])
      byAddress = new Map(backEnds.map((backEnd) => [`${backEnd.address.host}:${backEnd.address.port}`, backEnd]))
    }
  }
}
