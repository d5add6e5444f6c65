/** Synchronizes a mirror with the store: lists once, then watches; lists again when the store no longer has the history. */
import * as types from '@switchridge/types'
import * as createMirror from '../createMirror/index.js'

/** The mirror, its store and the callbacks of the synchronization. */
export interface SyncMirrorOptions {
  readonly mirror: createMirror.Mirror
  readonly store: createMirror.CollectionStore
  /** Longest time in milliseconds that a watch waits for events. */
  readonly waitMs: number
  /** Random number from 0 to 1, to spread the requests of many daemons in time. */
  readonly random: () => number
  /** Checked before each request; while false, no requests are sent to the store, and peers update the mirror instead. */
  readonly mayWatch: () => boolean
  /** Resolves when `mayWatch` may have changed, which can happen several times within the second in which a watcher is replaced. */
  readonly mayWatchChanged: () => Promise<void>
  /** Called when the store becomes unreachable and when it is reachable again. */
  readonly onReachabilityChange: (isReachable: boolean, reason: string) => void
  /** Called with what a request, or the handling of what it returned, threw; the synchronization goes on after a delay. */
  readonly onError: (thrown: unknown) => void
}

/** A running synchronization of a mirror. */
export interface MirrorSync {
  /** Whether the store is reachable, judged by the last request to it; true before the first one. */
  readonly isReachable: () => boolean
  /** Whether the store is reachable and the mirror may send requests to it. */
  readonly isWatching: () => boolean
  /** Abandons the current watch and starts a new one: after the machine was suspended, its connection may be dead, which the watch would notice only at the end of its wait. */
  readonly restartWatch: () => void
  /** Sends no further requests; the one under way is not aborted. */
  readonly stop: () => void
}

const RETRY_MINIMUM_MS = 100
const RETRY_MAXIMUM_MS = 1000
/**
 * Delay after a watch that returned events, so that changes in quick succession are returned by one watch instead of each ending a watch of its own.
 * Short compared with the seconds within which back ends that leave must stop receiving calls.
 */
const EVENT_BATCHING_MS = 250
/** Fraction of a wait that always elapses; the rest is random (see `jitter`). */
const MINIMUM_WAIT_FRACTION = 0.6

/**
 * Starts to synchronize a mirror with the store.
 *
 * @param options - The mirror, the store, the wait of watches and callbacks.
 * @returns The running synchronization, to query, restart and stop it.
 */
export function syncMirror (options: SyncMirrorOptions): MirrorSync {
  const { mirror, store } = options
  const stopping = new AbortController()
  let isReachable = true
  let isPaused = false
  let isHistoryGone = false
  let hasJustListed = false
  let failures = 0
  /** Revision of the last successful list or watch. */
  let lastRevision = 0
  let cancelWatch = (): void => {}

  function recordFailure (error: Error): number {
    failures += 1
    if (isReachable) options.onReachabilityChange(false, error.message)
    isReachable = false
    const retryMs = Math.min(RETRY_MAXIMUM_MS, RETRY_MINIMUM_MS * 2 ** Math.min(failures - 1, 4))
    return types.jitter(retryMs, MINIMUM_WAIT_FRACTION, options.random())
  }

  function recordSuccess (): void {
    failures = 0
    if (!isReachable) options.onReachabilityChange(true, '')
    isReachable = true
  }

  async function list (): Promise<void> {
    const listed = await store.listAll(mirror.kind)
    if (!listed.ok) {
      await types.delay(recordFailure(listed.error))
      return
    }
    recordSuccess()
    isHistoryGone = false
    hasJustListed = true
    lastRevision = listed.value.at
    mirror.applyList(listed.value)
  }

  /** Watches from the revision just listed, or from the mirror's revision, which peers may have advanced. */
  async function watch (): Promise<void> {
    const from = hasJustListed ? lastRevision : Math.max(lastRevision, Math.floor(mirror.state().at))
    hasJustListed = false
    // The first watch after a failure doesn't wait: the store may have come back from an older copy, which its response tells.
    const waitMs = failures > 0 ? 0 : Math.round(types.jitter(options.waitMs, MINIMUM_WAIT_FRACTION, options.random()))
    const watched = await Promise.race([store.watchAll(mirror.kind, from, waitMs), new Promise<null>((resolve) => { cancelWatch = () => { resolve(null) } })])
    if (watched === null) return
    if (watched.ok) {
      recordSuccess()
      lastRevision = watched.value.at
      mirror.applyEvents(watched.value)
      if (watched.value.events.length > 0) await types.delay(EVENT_BATCHING_MS)
    } else if (watched.error instanceof createMirror.HistoryGoneError) {
      isHistoryGone = true
    } else {
      await types.delay(recordFailure(watched.error))
    }
  }

  async function run (): Promise<void> {
    while (!stopping.signal.aborted) {
      isPaused = !options.mayWatch()
      try {
        if (isPaused) await options.mayWatchChanged()
        else if (isHistoryGone || !mirror.isInitialized()) await list()
        else await watch()
      } catch (thrown) {
        options.onError(thrown)
        await types.delay(RETRY_MAXIMUM_MS)
      }
    }
  }

  void run()
  return { isReachable: () => isReachable, isWatching: () => isReachable && !isPaused, restartWatch: () => { cancelWatch() }, stop: () => { stopping.abort() } }
}
