/** Watches the table at the platform. Two entry nodes of each data hall watch, whatever the size of the hall. */
import * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import type * as observability from '@switchridge/observability'
import type * as platform from '@switchridge/store'
import * as tables from '@switchridge/table'
import type * as createTableKeeper from '../createTableKeeper/index.js'

/** Options of {@link createTableWatch}. */
export interface TableWatchOptions {
  readonly store: platform.ObjectStore
  readonly keeper: createTableKeeper.TableKeeper
  readonly isWatcher: () => boolean
  readonly logger: observability.Logger
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The table watch of an entry node. */
export interface TableWatch {
  readonly start: () => void
  readonly stop: () => void
}

const WATCHERS_PER_HALL = 2
const ROLE_CHECK_INTERVAL_MS = 500
const BACKOFF_BASE_MS = 250
const BACKOFF_MAXIMUM_MS = 4000

/**
 * Tells whether an entry node is among the watchers of its data hall.
 *
 * @param self - The entry node.
 * @param members - The members it sees.
 * @returns True for the first two live entry nodes in rendezvous order.
 */
export function isTableWatcher (self: types.MemberFacts, members: readonly membership.Member[]): boolean {
  const eligible = members.filter(({ facts, condition }) => facts.role === 'entry' && facts.dataHall === self.dataHall && condition === 'live' && facts.state === 'live')
  const ranked = membership.rankByRendezvous(`table-watch/${self.dataHall}`, eligible, (member) => member.facts.node)
  return ranked.slice(0, WATCHERS_PER_HALL).some((member) => member.facts.node === self.node)
}

/**
 * Creates the watch.
 *
 * @param options - Platform, table and whether this node is a watcher.
 * @returns The watch, not yet started.
 */
export function createTableWatch (options: TableWatchOptions): TableWatch {
  const abort = new AbortController()
  let lastVersion = 0
  let failures = 0

  async function run (): Promise<void> {
    while (!abort.signal.aborted) {
      if (!options.isWatcher()) {
        await types.delay(ROLE_CHECK_INTERVAL_MS)
        continue
      }
      try {
        await watchOnce()
      } catch (thrown) {
        options.logger.error('table-watch-failed', { version: lastVersion, error: types.describeError(thrown) })
        await types.delay(BACKOFF_MAXIMUM_MS)
      }
    }
  }

  async function watchOnce (): Promise<void> {
    const watched = await options.store.watch(tables.TABLE_KIND, tables.TABLE_NAME, lastVersion, abort.signal)
    if (abort.signal.aborted) return
    if (watched.ok) applyObject(watched.value)
    else await backOff(watched.error)
  }

  function applyObject (object: platform.VersionedObject | null): void {
    if (failures > 0) options.logger.info('platform-back', { failures })
    failures = 0
    if (object === null) return
    lastVersion = object.version
    options.keeper.offerUnchecked(object.value, 'platform')
  }

  async function backOff (error: types.UnavailableError): Promise<void> {
    if (failures === 0) options.logger.warn('platform-unavailable', { reason: error.message })
    const ceiling = Math.min(BACKOFF_MAXIMUM_MS, BACKOFF_BASE_MS * 2 ** failures)
    failures += 1
    await types.delay(Math.max(error.retryAfterMs ?? 0, ceiling * (0.5 + options.random() / 2)))
  }

  return { start: () => { void run() }, stop: () => { abort.abort() } }
}
