/** Tracks attempts by ticket, one for each attempt, so that a query for an attempt is answered reliably even when it arrives before the attempt itself. */
import * as lruCache from 'lru-cache'
import type * as types from '@switchridge/types'

/**
 * `running` and `ran`: the attempt was passed to the back end. `not-run`: it was not and never will be.
 */
export type TicketState = 'running' | 'ran' | 'not-run'

/** The tickets of one process of a backend daemon. */
export interface Tickets {
  /** Opens the ticket of a received attempt; returns false when the ticket was used or closed before, in which case the attempt must not run. */
  readonly open: (ticket: types.TicketId) => boolean
  /** Records that the attempt ended without being passed to the back end. */
  readonly refuse: (ticket: types.TicketId) => void
  /** Records that an attempt that was passed to the back end has ended. */
  readonly finish: (ticket: types.TicketId) => void
  /** Returns the state of a ticket. An unknown ticket is closed as `not-run`, so that its attempt is refused if it arrives later. */
  readonly resolve: (ticket: types.TicketId) => TicketState
  readonly size: () => number
}

/** Options of {@link createTickets}. */
export interface TicketOptions {
  /** Milliseconds for which an ended ticket is kept; must be longer than any attempt can be in transit; 600 000 if absent. */
  readonly retentionMs?: number
  /** Maximum number of ended tickets that are kept, the least recently used being evicted first; 200 000 if absent. */
  readonly maximumEnded?: number
}

const DEFAULT_RETENTION_MS = 600_000
const DEFAULT_MAXIMUM_ENDED = 200_000

/**
 * Creates the ticket record of a daemon.
 *
 * @param options - How long and how many ended tickets are kept.
 * @returns The ticket record; tickets of running attempts are never evicted.
 */
export function createTickets (options: TicketOptions = {}): Tickets {
  const running = new Set<types.TicketId>()
  const ended = new lruCache.LRUCache<types.TicketId, 'ran' | 'not-run'>({
    max: options.maximumEnded ?? DEFAULT_MAXIMUM_ENDED,
    ttl: options.retentionMs ?? DEFAULT_RETENTION_MS
  })

  function end (ticket: types.TicketId, state: 'ran' | 'not-run'): void {
    running.delete(ticket)
    ended.set(ticket, state)
  }

  return {
    open: (ticket) => {
      if (running.has(ticket) || ended.has(ticket)) return false
      running.add(ticket)
      return true
    },
    refuse: (ticket) => { end(ticket, 'not-run') },
    finish: (ticket) => { end(ticket, 'ran') },
    resolve: (ticket) => {
      if (running.has(ticket)) return 'running'
      const state = ended.get(ticket)
      if (state === undefined) end(ticket, 'not-run')
      return state ?? 'not-run'
    },
    size: () => running.size + ended.size
  }
}
