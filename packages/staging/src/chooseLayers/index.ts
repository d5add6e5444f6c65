/** Which layers an empty engine takes first, so that engines serve together before any of them is whole. */
import type * as staging from '../types/index.js'

/**
 * Parts of the layers that engines of a data hall share at first. Two parts are there when half of a version has come, 2.2 s after a return
 * instead of 4.1 s; with four the origin's link, which sends a whole copy in 1.7 s, would bring no more than 0.3 s, and
 * only the engines with the first part take calls.
 */
const PARTS = 2

/**
 * Deals the parts by turns to the agents of each data hall, in the order of their names; every agent works out the same. A data hall of
 * one agent shares the layers with the next such hall.
 *
 * @param self - This agent.
 * @param agents - All live agents, this one included.
 * @param layers - How many layers the model has.
 * @returns The layers to take first, or null when there is nobody to share with.
 */
export function chooseLayers (self: staging.StagingPeer, agents: readonly staging.StagingPeer[], layers: number): staging.LayerRange | null {
  if (layers < PARTS || agents.length < PARTS) return null
  const inHall = agents.filter((agent) => agent.zone === self.zone).map((agent) => agent.node).sort()
  const halls = [...new Set(agents.map((agent) => agent.zone))].sort()
  const place = inHall.length < PARTS ? halls.indexOf(self.zone) : inHall.indexOf(self.node)
  const part = place % PARTS
  return { from: Math.ceil(layers * part / PARTS), to: Math.ceil(layers * (part + 1) / PARTS) }
}

/**
 * Lists the pieces that some layers need.
 *
 * @param range - The layers.
 * @param layers - How many layers the model has.
 * @param pieces - How many pieces a version has.
 * @returns The pieces in order; neighbouring layers may share one.
 */
export function listPieces ({ from, to }: staging.LayerRange, layers: number, pieces: number): number[] {
  const first = Math.floor(from * pieces / layers)
  const end = Math.ceil(to * pieces / layers)
  return Array.from({ length: end - first }, (_, index) => first + index)
}
