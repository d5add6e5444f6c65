/** Those that wait for pieces on behalf of peers. */

/** The waiters of one version. */
export interface PieceWaiters {
  /** Resolves when one of the wanted pieces has come, or after the milliseconds. */
  readonly wait: (wanted: readonly number[], maximumMs: number) => Promise<void>
  /** Wakes those that want a piece, one after the other. */
  readonly wake: (piece: number) => void
}

interface Waiter {
  readonly wanted: ReadonlySet<number>
  readonly resolve: () => void
}

/** The first one that wakes fills up the link, and the next ones see that: woken together, all would send. */
const WAKE_GAP_MS = 3

/**
 * Creates a list without waiters. An agent that passes on a version has some ten waiters at a time, which would wake it hundreds of times a second if
 * each looked by itself.
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
      woken.forEach(({ resolve }, place) => { if (place === 0) resolve(); else setTimeout(resolve, place * WAKE_GAP_MS) })
    }
  }
}
