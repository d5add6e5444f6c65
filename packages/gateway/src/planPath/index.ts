/**
 * Plans the engines that a call passes when none holds all layers, as after a loss of power: an engine needs 3.2 s for a whole version by
 * its link, and half of the layers come in half of that.
 */
import type * as gateway from '../types/index.js'

/** An engine with some layers of the version that shall serve. */
export interface LayerHolder {
  readonly backEnd: gateway.BackEnd
  readonly from: number
  /** The layer after the last one. */
  readonly to: number
  /** Milliseconds by which the engine is worse than a sound, idle one of the own data hall. */
  readonly costMs: number
}

/** Each engine more can fail a call, and delays each token by the way to it. */
export const MAXIMUM_STEPS = 4

/**
 * Continues from an engine that holds the first layers to one after the other, until all layers are covered. Of those that can
 * continue, the cheapest comes next, and among equals the one that reaches furthest.
 *
 * @param first - The engine that the call is sent to.
 * @param others - Engines that hold layers of the same version.
 * @param layers - How many layers the model has.
 * @returns The engines in order, or null when they do not cover all layers.
 */
export function planPath (first: LayerHolder, others: readonly LayerHolder[], layers: number): LayerHolder[] | null {
  if (first.from !== 0) return null
  const path = [first]
  let covered = first.to
  while (covered < layers) {
    const next = path.length < MAXIMUM_STEPS ? findNext(path, others, covered) : null
    if (next === null) return null
    path.push(next)
    covered = next.to
  }
  return path
}

function findNext (path: readonly LayerHolder[], others: readonly LayerHolder[], covered: number): LayerHolder | null {
  let best: LayerHolder | null = null
  for (const holder of others) {
    const isUsable = holder.from <= covered && holder.to > covered && !path.some((step) => step.backEnd.id === holder.backEnd.id)
    if (isUsable && (best === null || isBetter(holder, best))) best = holder
  }
  return best
}

function isBetter (left: LayerHolder, right: LayerHolder): boolean {
  return left.costMs < right.costMs || (left.costMs === right.costMs && left.to > right.to)
}

/**
 * Says which layers each engine of a path runs: each goes on where the one before it ends.
 *
 * @param path - The engines, in order.
 * @returns The steps, without gaps or overlaps.
 */
export function listSteps (path: readonly LayerHolder[]): gateway.PathStep[] {
  return path.map(({ backEnd, to }, index) => ({ address: backEnd.address, from: path[index - 1]?.to ?? 0, to }))
}
