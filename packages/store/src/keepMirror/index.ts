/** Keeps a mirror up to date from the store: list, then watch; listed again when the history is gone. */
import * as types from '@switchridge/types'
import * as createMirror from '../createMirror/index.js'

/** Options of {@link keepMirror}. */
export interface KeepMirrorOptions {
  readonly mirror: createMirror.Mirror
  readonly store: createMirror.CollectionStore
  /** Milliseconds that a watch waits when nothing happens. */
  readonly waitMs: number
  /** Random number from 0 to 1; spreads the watches of many daemons. */
  readonly random: () => number
  /** Asked before each call; while it is false, the store is not asked, and others bring the mirror up to date. */
  readonly mayWatch: () => boolean
  /** Resolves when `mayWatch` may have changed; several times within the second in which a watcher is replaced. */
  readonly nextChance: () => Promise<void>
  /** Told when the store is lost and when it is there again. */
  readonly onReachable: (isReachable: boolean, reason: string) => void
}

/** A mirror that is being kept. */
export interface KeptMirror {
  /** Whether the last call to the store was answered. */
  readonly isReachable: () => boolean
  /** Whether calls go to the store and are answered. */
  readonly isWatching: () => boolean
  /** Begins the watch under way anew: its connection may be dead, as after the machine was suspended, which it would notice only when its wait is over. */
  readonly restart: () => void
  readonly stop: () => void
}

const RETRY_MINIMUM_MS = 100
const RETRY_MAXIMUM_MS = 1000
/**
 * A watch begins again so long after one that told of changes, so that those that follow each other closely come in one answer: every one of
 * them ended a watch of its own. Short against the seconds within which back ends that leave get no more calls.
 */
const CHANGES_PAUSE_MS = 250
/** A watch waits between this part and the whole of `waitMs`. */
const WAIT_MINIMUM_PART = 0.6

/**
 * Starts to keep a mirror.
 *
 * @param options - The mirror, the store and how long watches wait.
 * @returns A handle to stop it.
 */
export function keepMirror (options: KeepMirrorOptions): KeptMirror {
  const { mirror, store } = options
  const stopping = new AbortController()
  let isReachable = true
  let isWaiting = false
  let isHistoryGone = false
  let isJustListed = false
  let failures = 0
  /** Revision that the last answer reached. */
  let reached = 0
  let interrupt = (): void => {}

  function noteFailure (error: Error): number {
    failures += 1
    if (isReachable) options.onReachable(false, error.message)
    isReachable = false
    const retryMs = Math.min(RETRY_MAXIMUM_MS, RETRY_MINIMUM_MS * 2 ** Math.min(failures - 1, 4))
    return types.jitter(retryMs, WAIT_MINIMUM_PART, options.random())
  }

  function noteAnswer (): void {
    failures = 0
    if (!isReachable) options.onReachable(true, '')
    isReachable = true
  }

  async function list (): Promise<void> {
    const listed = await store.listAll(mirror.kind)
    if (!listed.ok) {
      await types.delay(noteFailure(listed.error))
      return
    }
    noteAnswer()
    isHistoryGone = false
    isJustListed = true
    reached = listed.value.at
    mirror.applyList(listed.value)
  }

  /** Watches on from what was just listed, or from what the mirror shows, whoever brought it there. */
  async function watch (): Promise<void> {
    const from = isJustListed ? reached : Math.max(reached, Math.floor(mirror.state().at))
    isJustListed = false
    const waitMs = Math.round(types.jitter(options.waitMs, WAIT_MINIMUM_PART, options.random()))
    const watched = await Promise.race([store.watchAll(mirror.kind, from, waitMs), new Promise<null>((resolve) => { interrupt = () => { resolve(null) } })])
    if (watched === null) return
    if (watched.ok) {
      noteAnswer()
      reached = watched.value.at
      mirror.applyEvents(watched.value)
      if (watched.value.events.length > 0) await types.delay(CHANGES_PAUSE_MS)
    } else if (watched.error instanceof createMirror.HistoryGoneError) {
      isHistoryGone = true
    } else {
      await types.delay(noteFailure(watched.error))
    }
  }

  async function run (): Promise<void> {
    while (!stopping.signal.aborted) {
      isWaiting = !options.mayWatch()
      if (isWaiting) await options.nextChance()
      else if (isHistoryGone || !mirror.isKnown()) await list()
      else await watch()
    }
  }

  void run()
  return { isReachable: () => isReachable, isWatching: () => isReachable && !isWaiting, restart: () => { interrupt() }, stop: () => { stopping.abort() } }
}
