/** Selects, among the calls that were lost with back ends and the parts of their prompts, those that are likely to have ended them. */
import type * as types from '@switchridge/types'
import type * as computeFingerprint from '../computeFingerprint/index.js'
import * as matchesSuspect from '../matchesSuspect/index.js'
import type * as quarantine from '../types/index.js'
import type * as suspects from '../types/suspects.js'

/** A call or one part of prompts, which ends are counted against. */
export type Feature = computeFingerprint.CallFingerprint | types.PromptPartId

/** What a gateway knows of calls; gateways with the same evidence select the same calls. */
export interface Evidence {
  readonly ends: Iterable<quarantine.BackEndTermination>
  /** Monotonic time in milliseconds at which a call, or a call with a part, was last completed, -Infinity if never; earlier ends don't count against it. */
  readonly servedAt: (feature: Feature) => number
  /** Number of ends after which a call or a part is blocked. */
  readonly requiredEnds: (feature: Feature) => number
  /** Monotonic time in milliseconds from which on ends count against a call or a part; -Infinity if all of them do. */
  readonly countEndsFrom: (feature: Feature) => number
}

/** What to block, and what reached the required number of ends only because it was beside something that is blocked. */
export interface Selection {
  readonly blocked: ReadonlySet<suspects.SuspectId>
  readonly explained: ReadonlySet<suspects.SuspectId>
}

/**
 * Number of the required ends of a call that may be explained by another blocked call. Two crashing calls may run on the same engine, so with 0
 * one of several crashing calls could stay unblocked; each higher value refuses more harmless calls.
 */
const MAXIMUM_EXPLAINED = 1
/**
 * With this many ends beyond the required ones a call is blocked even if another call explains them: a harmless call is sent to at most four engines
 * before its caller gives up, or is completed in between.
 */
const EXTRA_ENDS = 2
/**
 * Ends of several back ends within this time may have one cause, such as a rack without power, and count once against a part, which calls on all of them may
 * share; unless one call was at several of them, which it was sent to one after the other.
 */
const JOINT_END_MS = 50
/** A part of a single call can't be told from that call, so at least this many different calls must have been lost with it. */
const REQUIRED_CALLS = 2

const NO_CALLS: ReadonlySet<computeFingerprint.CallFingerprint> = new Set()

/** A call or a part with the required number of ends. */
interface Candidate {
  readonly suspect: suspects.SuspectId
  readonly ends: readonly quarantine.BackEndTermination[]
  readonly required: number
  /** Whether it is known from completed calls. */
  readonly wasServed: boolean
  /** Number of different calls that it was lost with; a suspect of few calls explains ends better than one of many. */
  readonly callCount: number
  /** Null if the candidate is a call. */
  readonly part: types.PromptPartId | null
}

/**
 * Selects the calls and parts that explain the ends. A call that ran beside a crashing one and was retried elsewhere may meet it again, and a part may
 * be shared by crashing and harmless calls, so the number of ends alone is not enough: the candidate with the most ends is blocked first, and its ends don't count
 * against the others.
 *
 * @param evidence - What is known.
 * @returns The selection. Calls with exactly the same ends can't be told apart and are all blocked; parts that always came together are blocked only together.
 */
export function selectCallsToBlock (evidence: Evidence): Selection {
  const ends = [...evidence.ends]
  const candidates = [...listCalls(ends, evidence), ...listParts(ends, evidence)].sort(compareCandidates)
  const blocked: Candidate[] = []
  const explained = new Set<suspects.SuspectId>()
  for (const candidate of candidates) {
    const unexplained = candidate.ends.filter((end) => !isExplained(end, candidate, blocked))
    const isBlocked = candidate.part !== null ? countSeparateEnds(unexplained, candidate.part) >= candidate.required : mustBlockCall(candidate, unexplained.length)
    if (isBlocked) blocked.push(candidate)
    else explained.add(candidate.suspect)
  }
  return { blocked: new Set(blocked.map(({ suspect }) => suspect)), explained }
}

function compareCandidates (left: Candidate, right: Candidate): number {
  const order = Number(left.wasServed) - Number(right.wasServed) || right.ends.length - left.ends.length || left.callCount - right.callCount
  // The order in which reports arrived must not matter.
  return order !== 0 ? order : Number(left.suspect > right.suspect) - Number(left.suspect < right.suspect)
}

function mustBlockCall ({ ends, required }: Candidate, unexplained: number): boolean {
  return unexplained >= Math.max(1, required - MAXIMUM_EXPLAINED) || ends.length >= required + EXTRA_ENDS
}

function groupEnds<Key extends Feature> (ends: readonly quarantine.BackEndTermination[], keysOf: (end: quarantine.BackEndTermination) => Iterable<Key>): Map<Key, quarantine.BackEndTermination[]> {
  const grouped = new Map<Key, quarantine.BackEndTermination[]>()
  for (const end of ends) {
    for (const key of keysOf(end)) {
      const known = grouped.get(key)
      if (known === undefined) grouped.set(key, [end])
      else known.push(end)
    }
  }
  return grouped
}

/** Returns the ends that count against a call or a part, or null if there are fewer than required. */
function selectEnds (ends: readonly quarantine.BackEndTermination[], feature: Feature, required: number, evidence: Evidence): readonly quarantine.BackEndTermination[] | null {
  if (ends.length < required) return null
  const servedAt = evidence.servedAt(feature)
  const countedFrom = evidence.countEndsFrom(feature)
  const counted = ends.filter(({ at }) => at > servedAt && at >= countedFrom)
  return counted.length >= required ? counted : null
}

function listCalls (ends: readonly quarantine.BackEndTermination[], evidence: Evidence): Candidate[] {
  const candidates: Candidate[] = []
  for (const [call, endsOfCall] of groupEnds(ends, ({ calls }) => calls)) {
    const required = evidence.requiredEnds(call)
    const counted = selectEnds(endsOfCall, call, required, evidence)
    if (counted !== null) candidates.push({ suspect: call, ends: counted, required, wasServed: false, callCount: 1, part: null })
  }
  return candidates
}

function listParts (ends: readonly quarantine.BackEndTermination[], evidence: Evidence): Candidate[] {
  const candidates: Candidate[] = []
  for (const [part, endsOfPart] of groupEnds(ends, ({ callsByPart }) => callsByPart?.keys() ?? [])) {
    const required = evidence.requiredEnds(part)
    const counted = selectEnds(endsOfPart, part, required, evidence)
    if (counted === null || countSeparateEnds(counted, part) < required) continue
    const callCount = countCallsWith(counted, part)
    if (callCount < Math.min(required, REQUIRED_CALLS)) continue
    const companions = required >= REQUIRED_CALLS ? findCompanions(part, counted, evidence) : []
    const suspect = matchesSuspect.formatPartSet([part, ...companions])
    candidates.push({ suspect, ends: counted, required, wasServed: evidence.servedAt(part) > -Infinity, callCount, part })
  }
  return candidates
}

function countCallsWith (ends: readonly quarantine.BackEndTermination[], part: types.PromptPartId): number {
  const calls = new Set<computeFingerprint.CallFingerprint>()
  for (const end of ends) for (const call of listCallsWith(end, part)) calls.add(call)
  return calls.size
}

function listCallsWith ({ callsByPart }: quarantine.BackEndTermination, part: types.PromptPartId): ReadonlySet<computeFingerprint.CallFingerprint> {
  return callsByPart?.get(part) ?? NO_CALLS
}

/** Finds the parts that no call was completed with and that all lost calls with a part had, too: these can't be told from it. */
function findCompanions (part: types.PromptPartId, ends: readonly quarantine.BackEndTermination[], { servedAt }: Evidence): types.PromptPartId[] {
  const others = ends[0]?.callsByPart?.keys() ?? []
  return [...others].filter((other) => other !== part && servedAt(other) === -Infinity && ends.every((end) => {
    const callsWithOther = listCallsWith(end, other)
    return [...listCallsWith(end, part)].every((call) => callsWithOther.has(call))
  }))
}

/** Counts ends of calls with a part; those that may have one cause count once. */
function countSeparateEnds (ends: readonly quarantine.BackEndTermination[], part: types.PromptPartId): number {
  let count = 0
  let countedAt = -Infinity
  let jointCalls = new Set<computeFingerprint.CallFingerprint>()
  for (const end of [...ends].sort((left, right) => left.at - right.at)) {
    const calls = [...listCallsWith(end, part)]
    const isJoint = end.at - countedAt < JOINT_END_MS && !calls.some((call) => jointCalls.has(call))
    if (!isJoint) {
      count += 1
      countedAt = end.at
      jointCalls = new Set()
    }
    for (const call of calls) jointCalls.add(call)
  }
  return count
}

/** Whether the back end was also running something blocked that explains the ends of a call or a part better. */
function isExplained (end: quarantine.BackEndTermination, candidate: Candidate, blocked: readonly Candidate[]): boolean {
  return blocked.some((other) => wasRunning(end, other.suspect) && explainsBetter(other, candidate))
}

function explainsBetter (other: Candidate, candidate: Candidate): boolean {
  if (candidate.part === null) return other.ends.length > candidate.ends.length
  // If calls with the part were lost without the other call as well, that call does not explain them.
  if (other.part === null) return candidate.ends.every((end) => wasRunning(end, other.suspect))
  // A part that calls were completed with may have met several others that none was.
  return other.ends.length >= candidate.ends.length || (candidate.wasServed && !other.wasServed)
}

/** Whether a call that a suspect means was lost with a back end. */
export function wasRunning (end: quarantine.BackEndTermination, suspect: suspects.SuspectId): boolean {
  const [first, ...others] = matchesSuspect.listPartsOf(suspect)
  if (first === undefined) return end.calls.has(suspect as computeFingerprint.CallFingerprint)
  return [...listCallsWith(end, first)].some((call) => others.every((part) => listCallsWith(end, part).has(call)))
}
