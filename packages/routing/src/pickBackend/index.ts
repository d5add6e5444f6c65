/** Ways to choose a backend server; they are passed as arguments and measured in the same run. */
import * as membership from '@switchridge/membership'
import type * as createBackendLoads from '../createBackendLoads/index.js'

type Candidate = createBackendLoads.Candidate

/** Chooses a candidate, or null to let the call wait at the entry node. */
export type PickBackend = (candidates: readonly Candidate[], random: () => number, affinity: string) => Candidate | null

/** Takes any candidate. */
export const pickRandom: PickBackend = (candidates, random) => candidates[Math.floor(random() * candidates.length)] ?? null

/** Takes the one with the least load as last stated, and ignores what was sent since. */
export const pickLeastStated: PickBackend = (candidates, random) => pickLeast(candidates, random, (candidate) => candidate.statedLoad / candidate.limit)

/** Takes the one with the least load, counting what this entry node sent since the last word. */
export const pickLeastLoaded: PickBackend = (candidates, random) => pickLeast(candidates, random, (candidate) => candidate.load / candidate.limit)

/** Takes the better of two random candidates. */
export const pickTwoChoices: PickBackend = (candidates, random) => {
  if (candidates.length < 2) return candidates[0] ?? null
  const first = Math.floor(random() * candidates.length)
  const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length
  return pickLeastLoaded([candidates[first] as Candidate, candidates[second] as Candidate], random, '')
}

/** Takes the least loaded one that has a free slot or room in its short queue; else the call waits at the entry node. */
export const pickLateBinding: PickBackend = (candidates, random, affinity) => {
  const withFreeSlot = candidates.filter((candidate) => candidate.load < candidate.limit)
  if (withFreeSlot.length > 0) return pickByAffinity(withFreeSlot, random, affinity)
  const withQueueRoom = candidates.filter((candidate) => candidate.load < candidate.limit + candidate.queue)
  return pickLeastLoaded(withQueueRoom, random, affinity)
}

const AFFINITY_LOAD_FACTOR = 1.25

/** Takes the candidate that rendezvous hashing names for the prefix, unless it has more than its bounded part of the load. */
export const pickByAffinity: PickBackend = (candidates, random, affinity) => {
  if (affinity === '') return pickLeastLoaded(candidates, random, affinity)
  const total = candidates.reduce((sum, candidate) => sum + candidate.load / candidate.limit, 0)
  const bound = Math.max(AFFINITY_LOAD_FACTOR * total / candidates.length, 1 / (candidates[0]?.limit ?? 1))
  const ranked = membership.rankByRendezvous(affinity, candidates, (candidate) => candidate.node)
  return ranked.find((candidate) => candidate.load / candidate.limit <= bound) ?? pickLeastLoaded(candidates, random, affinity)
}

function pickLeast (candidates: readonly Candidate[], random: () => number, loadOf: (candidate: Candidate) => number): Candidate | null {
  let best: Candidate | null = null
  let bestLoad = Infinity
  let ties = 0
  for (const candidate of candidates) {
    const load = loadOf(candidate)
    ties = load === bestLoad ? ties + 1 : 1
    const isBetter = load < bestLoad || (load === bestLoad && random() < 1 / ties)
    if (!isBetter) continue
    best = candidate
    bestLoad = load
  }
  return best
}
