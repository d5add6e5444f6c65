/** The object API in memory, for tests, for embedding and for the platform's test double. */
import * as types from '@switchridge/types'
import type * as platform from '../types/index.js'

interface Waiter {
  readonly key: string
  readonly resolve: () => void
}

/** Longest wait of a watch. */
const WATCH_WAIT_MS = 10_000

/** An in-memory store that can be restored to an earlier copy. */
export interface MemoryObjectStore extends platform.ObjectStore {
  /** Copies all objects. */
  readonly snapshot: () => ReadonlyMap<string, platform.VersionedObject>
  /** Replaces all objects by a copy, like a platform restored from a backup. Watches that wait are not notified. */
  readonly restore: (objects: ReadonlyMap<string, platform.VersionedObject>) => void
}

/**
 * Creates an empty in-memory store.
 *
 * @returns The store; every method resolves at once except a watch without changes.
 */
export function createMemoryObjectStore (): MemoryObjectStore {
  let objects = new Map<string, platform.VersionedObject>()
  let lastVersion = 0
  const waiters = new Set<Waiter>()

  function put (key: string, name: string, value: unknown): number {
    lastVersion += 1
    objects.set(key, { name, version: lastVersion, value: structuredClone(value) })
    notifyWaiters(key)
    return lastVersion
  }

  function notifyWaiters (key: string): void {
    for (const waiter of waiters) {
      if (waiter.key === key) waiter.resolve()
    }
  }

  return {
    read: async (kind, name) => {
      const found = objects.get(formatKey(kind, name))
      if (found === undefined) return types.fail(new types.NotFoundError(`${kind}/${name} does not exist`))
      return types.succeed(structuredClone(found))
    },
    write: async (kind, name, value, condition) => {
      const key = formatKey(kind, name)
      const found = objects.get(key)
      const isMet = 'absent' in condition ? found === undefined : found?.version === condition.version
      if (!isMet) return types.fail(new types.ConflictError(`${kind}/${name} is at version ${found?.version ?? 'none'}`))
      return types.succeed(put(key, name, value))
    },
    remove: async (kind, name, version) => {
      const key = formatKey(kind, name)
      const found = objects.get(key)
      if (found === undefined) return types.fail(new types.NotFoundError(`${kind}/${name} does not exist`))
      if (found.version !== version) return types.fail(new types.ConflictError(`${kind}/${name} is at version ${found.version}`))
      objects.delete(key)
      notifyWaiters(key)
      return types.succeed(null)
    },
    list: async (kind, from, limit) => {
      const prefix = formatKey(kind, '')
      const found = [...objects.entries()]
        .filter(([key, object]) => key.startsWith(prefix) && object.name >= from)
        .map(([, object]) => object)
        .sort((left, right) => left.name < right.name ? -1 : 1)
      return types.succeed(structuredClone(found.slice(0, limit)))
    },
    watch: async (kind, name, version, signal) => {
      const key = formatKey(kind, name)
      if ((objects.get(key)?.version ?? 0) === version) await waitForChange(waiters, key, signal)
      const found = objects.get(key)
      return types.succeed(found === undefined || found.version === version ? null : structuredClone(found))
    },
    snapshot: () => structuredClone(objects),
    restore: (copy) => { objects = new Map(structuredClone(copy)) }
  }
}

function formatKey (kind: string, name: string): string {
  return `${kind}/${name}`
}

async function waitForChange (waiters: Set<Waiter>, key: string, signal: AbortSignal): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setTimeout(finish, WATCH_WAIT_MS)
    timer.unref()
    const waiter = { key, resolve: finish }
    function finish (): void {
      clearTimeout(timer)
      waiters.delete(waiter)
      signal.removeEventListener('abort', finish)
      resolve()
    }
    waiters.add(waiter)
    signal.addEventListener('abort', finish, { once: true })
    if (signal.aborted) finish()
  })
}
