/** Baseline to measure against: every node reads everything from the origin. */
import type * as transfer from '../types/index.js'

/**
 * Creates the policy.
 *
 * @param startedAt - Monotonic time in milliseconds.
 * @returns The policy; it asks no peer.
 */
export function createOriginPolicy (startedAt: number): transfer.TransferPolicy {
  return {
    prefersRare: false,
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
