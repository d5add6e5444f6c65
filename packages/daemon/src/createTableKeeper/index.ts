/** Keeps the table in force; a revision never goes back. */
import * as types from '@switchridge/types'
import * as tables from '@switchridge/table'
import type * as observability from '@switchridge/observability'

/** What became of an offered table. */
export type OfferResult = 'adopted' | 'known' | 'older' | 'contradiction'

/** The table of one daemon. */
export interface TableKeeper {
  readonly current: () => types.Table
  /** Adopts the table if its revision is higher than the one in force. */
  readonly offer: (table: types.Table, from: string) => OfferResult
  /** Checks and offers a table that came from outside. */
  readonly offerUnchecked: (value: unknown, from: string) => OfferResult | 'invalid'
  readonly onAdopt: (listener: (table: types.Table) => void) => void
}

/**
 * Creates the keeper of a daemon, empty at revision 0.
 *
 * @param logger - Where adoptions and contradictions are logged.
 * @returns The keeper.
 */
export function createTableKeeper (logger: observability.Logger): TableKeeper {
  const listeners: Array<(table: types.Table) => void> = []
  let current = types.EMPTY_TABLE
  let warnedOf = ''

  function offer (table: types.Table, from: string): OfferResult {
    if (table.revision > current.revision) {
      adopt(table, from)
      return 'adopted'
    }
    if (table.revision < current.revision) {
      warnOnce(`${from}/${table.revision}`, 'table-older', { from, revision: table.revision, inForce: current.revision })
      return 'older'
    }
    if (table.lastEdit?.editId === current.lastEdit?.editId) return 'known'
    warnOnce(`${from}/${table.lastEdit?.editId ?? ''}`, 'table-contradiction', { from, revision: table.revision, edit: table.lastEdit?.editId ?? '', inForce: current.lastEdit?.editId ?? '' })
    return 'contradiction'
  }

  function adopt (table: types.Table, from: string): void {
    current = table
    logger.info('table-adopted', { revision: table.revision, from, edit: table.lastEdit?.editId })
    for (const listener of listeners) listener(table)
  }

  function warnOnce (key: string, event: string, fields: observability.LogFields): void {
    if (warnedOf === key) return
    warnedOf = key
    logger.error(event, fields)
  }

  return {
    current: () => current,
    offer,
    offerUnchecked: (value, from) => {
      const parsed = tables.parseTable(value)
      if (parsed.ok) return offer(parsed.value, from)
      warnOnce(`${from}/invalid`, 'table-invalid', { from, reason: parsed.error.message })
      return 'invalid'
    },
    onAdopt: (listener) => { listeners.push(listener) }
  }
}
