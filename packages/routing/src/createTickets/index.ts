/** One ticket for each attempt: it tells truthfully whether the attempt ran, also when question and delivery cross. */
import * as lruCache from 'lru-cache'
import type * as types from '@switchridge/types'

/**
 * `running` and `ran`: the back end was asked. `not-run`: it was not and never will be.
 */
export type TicketState = 'running' | 'ran' | 'not-run'

/** The tickets of one life of a backend daemon. */
export interface Tickets {
  /** Opens a ticket for a delivery; false when the ticket was closed or used before, and the delivery must not run. */
  readonly open: (ticket: types.TicketId) => boolean
  /** Notes that the attempt ended without the back end being asked. */
  readonly refuse: (ticket: types.TicketId) => void
  readonly finish: (ticket: types.TicketId) => void
  /** Answers what became of a ticket; one that was never seen is closed by the question. */
  readonly resolve: (ticket: types.TicketId) => TicketState
  readonly size: () => number
}

/** Options of {@link createTickets}. */
export interface TicketOptions {
  /** Milliseconds for which an ended ticket is remembered; longer than any delivery may be under way. */
  readonly retentionMs?: number
  readonly maximumEnded?: number
}

const DEFAULT_RETENTION_MS = 600_000
const DEFAULT_MAXIMUM_ENDED = 200_000

/**
 * Creates the tickets of a daemon.
 *
 * @param options - How long and how many ended tickets are remembered.
 * @returns The tickets; running ones are never forgotten.
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
