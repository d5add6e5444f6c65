/** Baseline policies for measurements: a chain and a tree in which each node requests chunks from one parent. */
import type * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import type * as transfer from '../types/index.js'

/** Options of {@link createTreePolicy}. */
export interface TreeOptions {
  readonly self: transfer.Peer
  readonly holders: readonly transfer.Peer[]
  readonly manifestDigest: types.Digest
  /** Number of children of each node; 1 makes a chain. */
  readonly children: number
  /** Monotonic time in milliseconds from which chunks may be read from the origin. */
  readonly startedAt: number
}

/**
 * Creates the policy of a tree of the nodes in rendezvous order; the root reads from the origin.
 *
 * @param options - The node, the holders and the width of the tree.
 * @returns The policy; it has no fallback when a parent fails.
 */
export function createTreePolicy (options: TreeOptions): transfer.TransferPolicy {
  const ranked = membership.rankByRendezvous(options.manifestDigest, options.holders, (peer) => peer.node)
  const position = ranked.findIndex((peer) => peer.node === options.self.node)
  const parent = position === 0 ? undefined : ranked[Math.floor((position - 1) / options.children)]
  const firstChild = position * options.children + 1
  const children = ranked.slice(firstChild, firstChild + options.children).map((peer) => peer.node)
  return {
    rarestFirst: false,
    originReadAt: () => options.startedAt,
    readsOrigin: () => position === 0,
    isImporter: () => true,
    requestScopeOf: (peer) => peer.node === parent?.node ? 'everything' : 'nothing',
    findAnnounceTargets: () => children,
    findOverdueProvider: () => null,
    findImporter: () => null,
    takeOver: () => false,
    release: () => {}
  }
}
