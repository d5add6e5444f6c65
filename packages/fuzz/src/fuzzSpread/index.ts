/** Tables that reach daemons late, twice, out of order or from a platform restored from an old copy: no daemon ever goes back. */
import * as fc from 'fast-check'
import * as daemon from '@switchridge/daemon'
import * as observability from '@switchridge/observability'
import * as types from '@switchridge/types'
import type * as fuzzOptions from '../_lib/fuzzOptions.js'

/** Creates the keeper of a daemon; mutants stand in for it. */
export type CreateKeeper = () => daemon.TableKeeper

const DAEMONS = 5
const REVISIONS = 8

const stepArbitrary = fc.oneof(
  fc.record({ kind: fc.constant('platform' as const), daemon: fc.nat(DAEMONS - 1), revision: fc.integer({ min: 1, max: REVISIONS }) }),
  fc.record({ kind: fc.constant('peer' as const), daemon: fc.nat(DAEMONS - 1), from: fc.nat(DAEMONS - 1) }),
  fc.record({ kind: fc.constant('garbage' as const), daemon: fc.nat(DAEMONS - 1) }),
  fc.record({ kind: fc.constant('replace' as const), daemon: fc.nat(DAEMONS - 1), from: fc.nat(DAEMONS - 1) })
)

function makeTable (revision: number): types.Table {
  const lastEdit: types.AuditEntry = { revision, editId: types.brandId(`edit-${revision}`), editor: 'fuzz', at: '', changes: [] }
  return { ...types.EMPTY_TABLE, revision, lastEdit }
}

/** Creates a keeper that logs nothing. */
export function createSilentKeeper (): daemon.TableKeeper {
  return daemon.createTableKeeper(observability.createLogger('fuzz', {}, { level: 'silent' }))
}

/**
 * Fuzzes the spread of revisions.
 *
 * @param options - Seed and number of runs.
 * @param createKeeper - Creates the keepers under test.
 * @returns Resolves when no daemon went back and all ended at the newest revision that any of them holds.
 */
export async function fuzzSpread (options: fuzzOptions.FuzzOptions, createKeeper: CreateKeeper = createSilentKeeper): Promise<void> {
  await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 60 }), async (steps) => {
    const keepers = Array.from({ length: DAEMONS }, createKeeper)
    const highestSeen = keepers.map(() => 0)
    const checkMonotonic = (index: number): void => {
      const revision = keepers[index]?.current().revision ?? 0
      if (revision < (highestSeen[index] ?? 0)) throw new Error(`daemon ${index} went back from ${highestSeen[index] ?? 0} to ${revision}`)
      highestSeen[index] = revision
    }
    for (const step of steps) {
      const keeper = keepers[step.daemon]
      if (step.kind === 'platform') keeper?.offerUnchecked(makeTable(step.revision), 'platform')
      else if (step.kind === 'garbage') keeper?.offerUnchecked({ revision: 99, models: 'none' }, 'platform')
      else if (step.kind === 'peer') keeper?.offerUnchecked(keepers[step.from]?.current(), 'peer')
      else replace(keepers, highestSeen, step.daemon, step.from, createKeeper)
      checkMonotonic(step.daemon)
    }
    const newest = Math.max(...keepers.map((keeper) => keeper.current().revision))
    const source = keepers.find((keeper) => keeper.current().revision === newest)
    keepers.forEach((keeper, index) => {
      if (source !== undefined) keeper.offer(source.current(), 'peer')
      checkMonotonic(index)
      if (keeper.current().revision !== newest) throw new Error(`daemon ${index} did not reach revision ${newest}`)
    })
  }), { seed: options.seed, numRuns: options.runs })
}

/** A replaced daemon asks a daemon of its hall before it serves; it starts a new life without a floor of its own. */
function replace (keepers: daemon.TableKeeper[], highestSeen: number[], index: number, from: number, createKeeper: CreateKeeper): void {
  if (index === from) return
  const replacement = createKeeper()
  keepers[index] = replacement
  highestSeen[index] = 0
  const peer = keepers[from]
  if (peer !== undefined) replacement.offer(peer.current(), 'peer')
}
