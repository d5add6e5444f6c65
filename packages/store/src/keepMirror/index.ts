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
  /** Told when the store is lost and when it is there again. */
  readonly onReachable: (isReachable: boolean, reason: string) => void
}

/** A mirror that is being kept. */
export interface KeptMirror {
  /** Whether the last call to the store was answered. */
  readonly isReachable: () => boolean
  readonly stop: () => void
}

const RETRY_MINIMUM_MS = 100
const RETRY_MAXIMUM_MS = 1000
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
  let failures = 0

  function noteFailure (error: Error): number {
    failures += 1
    if (isReachable) options.onReachable(false, error.message)
    isReachable = false
    const retryMs = Math.min(RETRY_MAXIMUM_MS, RETRY_MINIMUM_MS * 2 ** Math.min(failures - 1, 4))
    return retryMs * (WAIT_MINIMUM_PART + (1 - WAIT_MINIMUM_PART) * options.random())
  }

  function noteAnswer (): void {
    failures = 0
    if (!isReachable) options.onReachable(true, '')
    isReachable = true
  }

  /** Lists until the store answers; returns the revision to watch from. */
  async function list (): Promise<number> {
    while (!stopping.signal.aborted) {
      const listed = await store.listAll(mirror.kind)
      if (listed.ok) {
        noteAnswer()
        mirror.applyList(listed.value)
        return listed.value.at
      }
      await types.delay(noteFailure(listed.error))
    }
    return 0
  }

  /** Watches until the history is gone. */
  async function watch (from: number): Promise<void> {
    let at = from
    while (!stopping.signal.aborted) {
      const waitMs = Math.round(options.waitMs * (WAIT_MINIMUM_PART + (1 - WAIT_MINIMUM_PART) * options.random()))
      const watched = await store.watchAll(mirror.kind, at, waitMs)
      if (watched.ok) {
        noteAnswer()
        mirror.applyEvents(watched.value)
        at = watched.value.at
        continue
      }
      if (watched.error instanceof createMirror.HistoryGoneError) return
      await types.delay(noteFailure(watched.error))
    }
  }

  async function run (): Promise<void> {
    while (!stopping.signal.aborted) {
      const at = await list()
      await watch(at)
    }
  }

  void run()
  return { isReachable: () => isReachable, stop: () => { stopping.abort() } }
}
