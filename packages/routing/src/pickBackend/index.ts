/** Policies for choosing a backend server. They are passed as arguments, so that they can be compared in the same run. */
import * as membership from '@switchridge/membership'
import type * as createBackendLoads from '../createBackendLoads/index.js'

type Candidate = createBackendLoads.Candidate

/**
 * Chooses a candidate, or null to make the call wait at the entry node. `random` returns a number from 0 to 1; `affinity` is the prompt prefix of the call, empty for
 * none: calls with the same prefix preferably go to the same server.
 */
export type PickBackend = (candidates: readonly Candidate[], random: () => number, affinity: string) => Candidate | null

/** Takes a random candidate. */
export const pickRandom: PickBackend = (candidates, random) => candidates[Math.floor(random() * candidates.length)] ?? null

/** Takes the candidate with the lowest reported load and ignores the calls sent since the report. */
export const pickLeastReported: PickBackend = (candidates, random) => pickLeast(candidates, random, (candidate) => candidate.reportedLoad / candidate.limit)

/** Takes the candidate with the lowest load, including the calls that this entry node sent since the last report. */
export const pickLeastLoaded: PickBackend = (candidates, random) => pickLeast(candidates, random, (candidate) => candidate.load / candidate.limit)

/** Takes the less loaded of two random candidates. */
export const pickTwoChoices: PickBackend = (candidates, random) => {
  if (candidates.length < 2) return candidates[0] ?? null
  const first = Math.floor(random() * candidates.length)
  const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length
  return pickLeastLoaded([candidates[first] as Candidate, candidates[second] as Candidate], random, '')
}

/** Takes a candidate with a free slot, by prompt prefix, or else the least loaded one with room in its queue; otherwise the call waits at the entry node. */
export const pickLateBinding: PickBackend = (candidates, random, affinity) => {
  const withFreeSlot = candidates.filter((candidate) => candidate.load < candidate.limit)
  if (withFreeSlot.length > 0) return pickByAffinity(withFreeSlot, random, affinity)
  const withQueueRoom = candidates.filter((candidate) => candidate.load < candidate.limit + candidate.queue)
  return pickLeastLoaded(withQueueRoom, random, affinity)
}

/** Load of a candidate, relative to the average, up to which it is chosen for the prompt prefixes that rank it first. */
const AFFINITY_LOAD_FACTOR = 1.25

/** Takes the highest-ranked candidate for the prompt prefix by rendezvous hashing whose load does not exceed the bound, or else the least loaded one. */
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
