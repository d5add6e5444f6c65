/** Baseline policy for measurements: every node reads all chunks from the origin. */
import type * as transfer from '../types/index.js'

/**
 * Creates the policy.
 *
 * @param startedAt - Monotonic time in milliseconds from which chunks may be read.
 * @returns The policy; it sends no requests to peers.
 */
export function createOriginPolicy (startedAt: number): transfer.TransferPolicy {
  return {
    rarestFirst: false,
    originReadAt: () => startedAt,
    readsOrigin: () => true,
    isImporter: () => true,
    requestScopeOf: () => 'nothing',
    findAnnounceTargets: () => [],
    findOverdueProvider: () => null,
    findImporter: () => null,
    takeOver: () => false,
    release: () => {}
  }
}
