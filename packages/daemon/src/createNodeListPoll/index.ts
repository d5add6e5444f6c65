/** Polls the platform's node list about once a second, with exponential backoff up to about 8 s while the platform is unavailable. */
import * as types from '@switchridge/types'
import type * as membership from '@switchridge/membership'

/** The node list poll of an entry node. */
export interface NodeListPoll {
  readonly start: () => void
  readonly stop: () => void
}

const INTERVAL_MS = 1000
const BACKOFF_MAXIMUM_MS = 8000

/**
 * Creates the poll.
 *
 * @param read - Requests the list from the platform.
 * @param onList - Called with each list.
 * @param random - Random number from 0 to 1, for the jitter.
 * @param isReader - Whether this entry node has to read the list; hubs do, and pass it on.
 * @returns The poll, not yet started.
 */
export function createNodeListPoll (
  read: () => Promise<types.Outcome<readonly membership.ListedNode[], types.UnavailableError>>,
  onList: (nodes: readonly membership.ListedNode[]) => void,
  random: () => number,
  isReader: () => boolean
): NodeListPoll {
  const stopController = new AbortController()
  let failures = 0

  async function readOnce (): Promise<void> {
    const listed = await read()
    failures = listed.ok ? 0 : failures + 1
    if (listed.ok) onList(listed.value)
  }

  async function run (): Promise<void> {
    while (!stopController.signal.aborted) {
      if (isReader()) await readOnce()
      await types.delay(Math.min(BACKOFF_MAXIMUM_MS, INTERVAL_MS * 2 ** failures) * (0.75 + random() / 2))
    }
  }

  return { start: () => { void run() }, stop: () => { stopController.abort() } }
}
