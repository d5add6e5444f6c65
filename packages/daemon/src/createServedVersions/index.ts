/** Tracks the versions that the engine on this host may serve, and counts the calls that use each of them. */
import type * as types from '@switchridge/types'

/** A call's reference to a version, which stays loaded until all its pins are released. */
export interface Pin {
  readonly served: types.ServedVersion
  readonly release: () => void
}

/** The versions that the backend server serves, by row of the table. */
export interface ServedVersions {
  readonly set: (served: types.ServedVersion) => void
  readonly remove: (row: types.RowId) => void
  readonly find: (row: types.RowId) => types.ServedVersion | undefined
  readonly list: () => readonly types.ServedVersion[]
  /** Pins the version that the row serves now; undefined when it serves none. */
  readonly pin: (row: types.RowId) => Pin | undefined
  /** Resolves when no call has a pin on the version. */
  readonly whenReleased: (manifest: types.Digest) => Promise<void>
}

/**
 * Creates the state of a backend server that serves nothing yet.
 *
 * @returns The state.
 */
export function createServedVersions (): ServedVersions {
  const rows = new Map<types.RowId, types.ServedVersion>()
  const pins = new Map<types.Digest, number>()
  const waiters = new Map<types.Digest, Array<() => void>>()

  function unpin (manifest: types.Digest): void {
    const left = (pins.get(manifest) ?? 1) - 1
    if (left > 0) {
      pins.set(manifest, left)
      return
    }
    pins.delete(manifest)
    for (const resolve of waiters.get(manifest) ?? []) resolve()
    waiters.delete(manifest)
  }

  function pin (row: types.RowId): Pin | undefined {
    const served = rows.get(row)
    if (served === undefined) return undefined
    pins.set(served.manifest, (pins.get(served.manifest) ?? 0) + 1)
    let isReleased = false
    return {
      served,
      release: () => {
        if (isReleased) return
        isReleased = true
        unpin(served.manifest)
      }
    }
  }

  return {
    pin,
    set: (served) => { rows.set(served.row, served) },
    remove: (row) => { rows.delete(row) },
    find: (row) => rows.get(row),
    list: () => [...rows.values()],
    whenReleased: async (manifest) => {
      if (!pins.has(manifest)) return
      await new Promise<void>((resolve) => { waiters.set(manifest, [...waiters.get(manifest) ?? [], resolve]) })
    }
  }
}
