/** Selects the calls that end back ends among those that were there when some ended. */
import type * as identifyCall from '../identifyCall/index.js'
import type * as quarantine from '../types/index.js'

/** What is known of calls; gateways that know the same select the same. */
export interface Evidence {
  readonly ends: Iterable<quarantine.BackEndEnd>
  /** Monotonic time in milliseconds at which a call was last served to its end: ends before it don't count against it. */
  readonly servedAt: (call: identifyCall.CallFingerprint) => number
  /** Ends that are needed against a call. */
  readonly limitOf: (call: identifyCall.CallFingerprint) => number
  /** Monotonic time in milliseconds after which ends count against a call. */
  readonly countFrom: (call: identifyCall.CallFingerprint) => number
}

/** The calls that are to be blocked, and those that only were beside them often enough. */
export interface Selection {
  readonly blocked: ReadonlySet<identifyCall.CallFingerprint>
  readonly explained: ReadonlySet<identifyCall.CallFingerprint>
}

/**
 * So many of the ends that are needed may be explained by another blocked call: two lethal calls meet at one engine, too, and with none
 * allowed one of several lethal calls could go on. Each one more lets more calls be refused that harm nobody.
 */
const EXPLAINED_ALLOWED = 1
/**
 * No more ends beyond those needed are explained away at all: a call that harms nobody is sent to four engines at most before its caller gives up, or is served in
 * between.
 */
const EXPLAINED_ENDS = 2

/**
 * Selects the calls that explain the ends. Calls that ran beside such a call and went on elsewhere may meet it again, so being there
 * often is not enough: the call that was there most often is blocked first, and ends that it explains count against no call that was there less often.
 *
 * @param evidence - What is known.
 * @returns The selection; calls that were at the same ends can't be told apart and are all blocked.
 */
export function selectBlocked (evidence: Evidence): Selection {
  const endsOf = indexEnds(evidence)
  const candidates = [...endsOf]
    .filter(([call, ends]) => ends.length >= evidence.limitOf(call))
    .sort(([, left], [, right]) => right.length - left.length)
  const blocked = new Map<identifyCall.CallFingerprint, number>()
  const explained = new Set<identifyCall.CallFingerprint>()
  for (const [call, ends] of candidates) {
    const left = ends.filter((end) => !isExplained(end, ends.length, blocked))
    const limit = evidence.limitOf(call)
    if (left.length >= Math.max(1, limit - EXPLAINED_ALLOWED) || ends.length >= limit + EXPLAINED_ENDS) blocked.set(call, ends.length)
    else explained.add(call)
  }
  return { blocked: new Set(blocked.keys()), explained }
}

function indexEnds ({ ends, servedAt, countFrom }: Evidence): Map<identifyCall.CallFingerprint, quarantine.BackEndEnd[]> {
  const endsOf = new Map<identifyCall.CallFingerprint, quarantine.BackEndEnd[]>()
  for (const end of ends) {
    for (const call of end.calls) {
      if (end.at <= servedAt(call) || end.at < countFrom(call)) continue
      const known = endsOf.get(call)
      if (known === undefined) endsOf.set(call, [end])
      else known.push(end)
    }
  }
  return endsOf
}

/** Whether a blocked call was there that was at more ends than the one that is looked at. */
function isExplained (end: quarantine.BackEndEnd, count: number, blocked: ReadonlyMap<identifyCall.CallFingerprint, number>): boolean {
  for (const [call, blockedCount] of blocked) if (blockedCount > count && end.calls.has(call)) return true
  return false
}
