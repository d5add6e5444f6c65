/** Selects, among the calls that were lost with back ends, those that are likely to have ended them. */
import type * as computeFingerprint from '../computeFingerprint/index.js'
import type * as quarantine from '../types/index.js'

/** What a gateway knows of calls; gateways with the same evidence select the same calls. */
export interface Evidence {
  readonly ends: Iterable<quarantine.BackEndTermination>
  /** Monotonic time in milliseconds at which a call was last completed, -Infinity if never; earlier ends don't count against it. */
  readonly servedAt: (call: computeFingerprint.CallFingerprint) => number
  /** Number of ends after which a call is blocked. */
  readonly requiredEnds: (call: computeFingerprint.CallFingerprint) => number
  /** Monotonic time in milliseconds from which on ends count against a call; -Infinity if all of them do. */
  readonly countEndsFrom: (call: computeFingerprint.CallFingerprint) => number
}

/** The calls to block, and those that reached the required number of ends only because they ran beside a blocked call. */
export interface Selection {
  readonly blocked: ReadonlySet<computeFingerprint.CallFingerprint>
  readonly explained: ReadonlySet<computeFingerprint.CallFingerprint>
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
 * Selects the calls that explain the ends. A call that ran beside a crashing call and was retried elsewhere may meet it again, so the number of
 * ends alone is not enough: the call with the most ends is blocked first, and its ends don't count against calls with fewer ends.
 *
 * @param evidence - What is known.
 * @returns The selection; calls with exactly the same ends can't be told apart and are all blocked.
 */
export function selectCallsToBlock (evidence: Evidence): Selection {
  const endsByCall = groupEndsByCall(evidence)
  const candidates = [...endsByCall]
    .filter(([call, ends]) => ends.length >= evidence.requiredEnds(call))
    .sort(([, left], [, right]) => right.length - left.length)
  const blocked = new Map<computeFingerprint.CallFingerprint, number>()
  const explained = new Set<computeFingerprint.CallFingerprint>()
  for (const [call, ends] of candidates) {
    const unexplained = ends.filter((end) => !isExplained(end, ends.length, blocked))
    const required = evidence.requiredEnds(call)
    if (unexplained.length >= Math.max(1, required - MAXIMUM_EXPLAINED) || ends.length >= required + EXTRA_ENDS) blocked.set(call, ends.length)
    else explained.add(call)
  }
  return { blocked: new Set(blocked.keys()), explained }
}

function groupEndsByCall ({ ends, servedAt, countEndsFrom }: Evidence): Map<computeFingerprint.CallFingerprint, quarantine.BackEndTermination[]> {
  const endsByCall = new Map<computeFingerprint.CallFingerprint, quarantine.BackEndTermination[]>()
  for (const end of ends) {
    for (const call of end.calls) {
      if (end.at <= servedAt(call) || end.at < countEndsFrom(call)) continue
      const known = endsByCall.get(call)
      if (known === undefined) endsByCall.set(call, [end])
      else known.push(end)
    }
  }
  return endsByCall
}

/** Whether the back end was also running a blocked call that has more ends than the examined one. */
function isExplained (end: quarantine.BackEndTermination, endCount: number, blocked: ReadonlyMap<computeFingerprint.CallFingerprint, number>): boolean {
  for (const [call, blockedEndCount] of blocked) if (blockedEndCount > endCount && end.calls.has(call)) return true
  return false
}
