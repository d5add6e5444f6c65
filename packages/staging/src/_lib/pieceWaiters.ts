/** Requests of peers that wait for pieces. */

/** The waiters of one version. */
export interface PieceWaiters {
  /** Resolves when one of the wanted pieces is stored, or after the milliseconds. */
  readonly wait: (wanted: readonly number[], maximumMs: number) => Promise<void>
  /** Wakes the waiters for a piece, one after the other. */
  readonly wake: (piece: number) => void
}

interface Waiter {
  readonly wanted: ReadonlySet<number>
  readonly resolve: () => void
}

/** Interval between woken waiters: the first one fills the uplink's queue, and the next ones see that; woken together, all of them would send. */
const WAKE_GAP_MS = 3

/**
 * Creates an empty list of waiters. An agent that distributes a version has some ten waiters at a time, which would wake the process hundreds of times a
 * second if each of them polled the store.
 *
 * @returns The list.
 */
export function createPieceWaiters (): PieceWaiters {
  const waiters = new Set<Waiter>()

  return {
    wait: async (wanted, maximumMs) => {
      await new Promise<void>((resolve) => {
        const waiter = { wanted: new Set(wanted), resolve: end }
        const timer = setTimeout(end, maximumMs)
        waiters.add(waiter)

        function end (): void {
          clearTimeout(timer)
          waiters.delete(waiter)
          resolve()
        }
      })
    },
    wake: (piece) => {
      const woken = [...waiters].filter(({ wanted }) => wanted.has(piece))
      woken.forEach(({ resolve }, position) => { if (position === 0) resolve(); else setTimeout(resolve, position * WAKE_GAP_MS) })
    }
  }
}
