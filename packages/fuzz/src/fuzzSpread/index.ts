/** Fuzzes the propagation of tables that arrive late, twice, out of order or from a platform restored from an old backup. Checks that no daemon reverts to an older revision. */
import * as fc from 'fast-check'
import * as daemon from '@switchridge/daemon'
import * as observability from '@switchridge/observability'
import * as types from '@switchridge/types'
import type * as fuzzOptions from '../_lib/fuzzOptions.js'

/** Creates the table keeper of a daemon; tests pass a faulty one to check that the fuzzer detects it. */
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

/** Creates a table keeper with a silent logger. */
export function createSilentKeeper (): daemon.TableKeeper {
  return daemon.createTableKeeper(observability.createLogger('fuzz', {}, { level: 'silent' }))
}

/**
 * Fuzzes the propagation of table revisions.
 *
 * @param options - Seed and number of runs.
 * @param createKeeper - Creates the table keepers under test.
 * @returns Resolves if no daemon reverts to an older revision and all reach the newest one that any of them holds.
 */
export async function fuzzSpread (options: fuzzOptions.FuzzOptions, createKeeper: CreateKeeper = createSilentKeeper): Promise<void> {
  await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 60 }), async (steps) => {
    const keepers = Array.from({ length: DAEMONS }, createKeeper)
    const highestSeen = keepers.map(() => 0)
    const checkMonotonic = (index: number): void => {
      const revision = keepers[index]?.current().revision ?? 0
      if (revision < (highestSeen[index] ?? 0)) throw new Error(`daemon ${index} reverted from revision ${highestSeen[index] ?? 0} to ${revision}`)
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

/** Replaces a daemon by a new incarnation, which fetches the table from a peer before it serves and has no revision of its own to keep. */
function replace (keepers: daemon.TableKeeper[], highestSeen: number[], index: number, from: number, createKeeper: CreateKeeper): void {
  if (index === from) return
  const replacement = createKeeper()
  keepers[index] = replacement
  highestSeen[index] = 0
  const peer = keepers[from]
  if (peer !== undefined) replacement.offer(peer.current(), 'peer')
}
