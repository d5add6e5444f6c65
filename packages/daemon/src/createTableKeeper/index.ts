/** Holds the table in force; its revision never decreases. */
import * as types from '@switchridge/types'
import * as tables from '@switchridge/table'
import type * as observability from '@switchridge/observability'

/** Result of offering a table. */
export type OfferResult = 'adopted' | 'known' | 'older' | 'contradiction'

/** Holds the table of one daemon. */
export interface TableKeeper {
  readonly current: () => types.Table
  /** Adopts the table if its revision is higher than that of the table in force. */
  readonly offer: (table: types.Table, from: string) => OfferResult
  /** Validates and offers a table from an untrusted source. */
  readonly offerUnchecked: (value: unknown, from: string) => OfferResult | 'invalid'
  readonly onAdopt: (listener: (table: types.Table) => void) => void
}

/**
 * Creates a table keeper with the empty table at revision 0.
 *
 * @param logger - Where adoptions and contradictions are logged.
 * @returns The keeper.
 */
export function createTableKeeper (logger: observability.Logger): TableKeeper {
  const listeners: Array<(table: types.Table) => void> = []
  let current = types.EMPTY_TABLE
  let lastWarningKey = ''

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
    if (lastWarningKey === key) return
    lastWarningKey = key
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
