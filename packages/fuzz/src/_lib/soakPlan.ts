/** Plans the disturbances of a soak from its seed. */
import * as standins from '@switchridge/standins'

/** What happens to a node or to the table. */
export type DisturbanceKind =
  /** Stopped by SIGSTOP and continued by SIGCONT. */
  | 'pause'
  /** Ended by SIGTERM after a drain, and started again. */
  | 'restart'
  /** Ended by SIGKILL, and started again. */
  | 'kill'
  /** A row is added to the table. */
  | 'edit'
  /** A new version of the weights is named. */
  | 'version'

/** One disturbance. */
export interface Disturbance {
  readonly atMs: number
  readonly kind: DisturbanceKind
  /** Index into the nodes that may be disturbed, for kinds that affect a node. */
  readonly node: number
  /** Length of a pause, or time between the end of a process and its next start, in milliseconds. */
  readonly forMs: number
}

/** Nodes that may be disturbed: entry nodes first, then backend servers. */
export interface DisturbableNodes {
  readonly entryNodes: number
  readonly backends: number
}

/** Pauses shorter and longer than the silence limit of members. */
const PAUSES_MS = [500, 2000, 4500, 7000]
const MAXIMUM_DOWN_MS = 1500
const VERSIONS = 2

/**
 * Plans disturbances that come in series and overlap.
 *
 * @param seed - Seed of the plan.
 * @param durationMs - Time in milliseconds in which they begin.
 * @param nodes - Numbers of nodes that may be disturbed.
 * @returns The disturbances, in order. No node gets a second one before its first is over.
 */
export function planDisturbances (seed: number, durationMs: number, nodes: DisturbableNodes): Disturbance[] {
  const random = standins.createSeededRandom(seed)
  const freeAt = new Map<number, number>()
  const plan: Disturbance[] = []
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)] as Item
  let atMs = 0
  let versions = 0
  // Short gaps between most disturbances, so that they overlap, and a long one now and then.
  while ((atMs += random() < 0.7 ? random() * 500 : random() * 3000) < durationMs) {
    const isEntry = random() < 0.5
    const node = isEntry ? Math.floor(random() * nodes.entryNodes) : nodes.entryNodes + Math.floor(random() * nodes.backends)
    const kind = pick<DisturbanceKind>(['pause', 'pause', 'restart', 'restart', isEntry ? 'pause' : 'kill', 'edit', 'version'])
    const forMs = kind === 'pause' ? pick(PAUSES_MS) : random() * MAXIMUM_DOWN_MS
    if (kind === 'version' && ++versions > VERSIONS) continue
    if (kind !== 'edit' && kind !== 'version') {
      if (atMs < (freeAt.get(node) ?? 0)) continue
      freeAt.set(node, atMs + forMs + (kind === 'pause' ? 0 : durationMs))
    }
    plan.push({ atMs, kind, node, forMs })
  }
  return plan
}
