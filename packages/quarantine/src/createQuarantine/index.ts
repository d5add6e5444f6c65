/** Records which calls were lost when back ends ended, and which calls and parts of prompts are blocked for it. */
import * as types from '@switchridge/types'
import type * as computeFingerprint from '../computeFingerprint/index.js'
import * as createServedParts from '../createServedParts/index.js'
import * as matchesSuspect from '../matchesSuspect/index.js'
import * as selectCallsToBlock from '../selectCallsToBlock/index.js'
import * as quarantine from '../types/index.js'
import type * as suspects from '../types/suspects.js'

/** Why a block was lifted early: another call or part explains the ends, or the call, or calls with all blocked parts, were completed after all. */
export type ReleaseReason = 'explained' | 'served'

/** Options of {@link createQuarantine}. */
export interface QuarantineOptions {
  readonly limits: quarantine.QuarantineLimits
  /** Called for each call or set of parts that is blocked, with the back ends that ended while running it, as far as known; the list is empty for a block from another gateway or from the store. */
  readonly onBlocked: (block: quarantine.CallBlock, lives: readonly types.BackEndInstanceId[]) => void
  /** Called for each block that is lifted early. */
  readonly onReleased: (block: quarantine.CallBlock, reason: ReleaseReason) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** A part of prompts and the time at which a call with it was last completed. */
export interface ServedPart {
  readonly part: types.PromptPartId
  /** Monotonic time in milliseconds. */
  readonly at: number
}

/** What one gateway knows of calls that crash back ends, from its own observations and from other gateways. */
export interface Quarantine {
  /** Records the end of a back end with calls that were lost; reports of other gateways about the same end are merged. */
  readonly noteEnd: (end: quarantine.BackEndTermination) => void
  /** Records that a call was completed at a monotonic time in milliseconds; returns whether to tell other gateways, since the call was blocked or is suspected of more than one end. */
  readonly noteServed: (call: computeFingerprint.CallFingerprint, at: number) => boolean
  /** Records that a call with these parts in its prompt was completed at a monotonic time in milliseconds, so that none of them crashes back ends. */
  readonly notePartsServed: (parts: readonly types.PromptPartId[], at: number) => void
  /** Records what another gateway knows of a part; other gateways need not be told of it any more. */
  readonly noteServedReport: (served: ServedPart) => void
  /** Returns those of the parts that other gateways may suspect although a call with them was completed later than they have been told, and marks them as told. */
  readonly takeServedToReport: (parts: readonly types.PromptPartId[]) => ServedPart[]
  /** Whether a part must be named in a report of an end; parts of calls that were completed only just now need not. */
  readonly isSuspicious: (part: types.PromptPartId) => boolean
  /** Adopts a block from another gateway or from the store, unless it has expired, is not newer than the known one, or the call was completed after it began. */
  readonly noteBlock: (block: quarantine.CallBlock) => void
  /** Milliseconds for which a call, or a set of parts, is still blocked; null if it may run. */
  readonly readBlockedMs: (suspect: suspects.SuspectId) => number | null
  /** Milliseconds for which a call is still blocked, itself or by the parts of its prompt; null if it may run. */
  readonly readCallBlockedMs: (call: suspects.CallFeatures) => number | null
  /** Whether any end or block is stored; otherwise callers needn't compute fingerprints. */
  readonly isActive: () => boolean
  /** All blocks in force. */
  readonly blocks: () => quarantine.CallBlock[]
  /** Number of calls that were lost with a back end whose end is stored, and that were not completed after any such loss. */
  readonly countSuspects: () => number
  /** Number of parts of prompts that calls lost with a stored end had. */
  readonly countSuspectedParts: () => number
  /** Number of ends that are stored. */
  readonly countEnds: () => number
}

/** Computes for how many milliseconds a call's block number `count` lasts; the first one is number 1. */
export function computeBlockMs (count: number, limits: Pick<quarantine.QuarantineLimits, 'blockMs' | 'maximumBlockMs'>): number {
  return Math.min(limits.maximumBlockMs, limits.blockMs * quarantine.BLOCK_FACTOR ** (count - 1))
}

/** Computes for how many milliseconds a block is stored: after the block the call is on probation for the same time, during which a single end blocks it again. */
export function computeBlockRetentionMs (count: number, limits: Pick<quarantine.QuarantineLimits, 'blockMs' | 'maximumBlockMs'>): number {
  return 2 * computeBlockMs(count, limits)
}

/**
 * Reports about the same back end that are at most this far apart describe the same end; their times differ by delays of detection and network. A back end may
 * restart under its id before its new start time is known everywhere, but takes longer than this to do so.
 */
const SAME_END_MS = 1000
/** Number of ends after which a call on probation, whose last block is over, is blocked again. */
const ENDS_ON_PROBATION = 1
/** Other gateways are told that a call was completed if it is suspected of this many ends. */
const ENDS_TO_SHARE_SERVED = 2
/**
 * Ends required of a part beyond those of the settings if a call with it was completed before, or if this process has observed too few calls to know: calls with a
 * harmless part are cut again and again while something else crashes back ends, and are completed in between.
 */
const EXTRA_ENDS_OF_SERVED_PART = 2
/** Time after its start from which on a gateway has seen calls completed with all parts that are in common use. */
const LEARNING_MS = 10_000
/** A part of calls that were completed at most this long before a block is not blocked because of a peer that has not seen them. */
const RECENTLY_SERVED_MS = 2000
/** A part of calls that were completed at most this long ago is in common use, and is not named in reports. */
const COMMON_USE_MS = 300
/** Number of parts of completed calls that are remembered, some 160 bytes each. */
const MAXIMUM_SERVED_PARTS = 10_000

/** Combines what two reports say of the same end. */
function mergeEnds (known: quarantine.BackEndTermination, reported: quarantine.BackEndTermination): quarantine.BackEndTermination {
  const callsByPart = new Map(known.callsByPart)
  for (const [part, calls] of reported.callsByPart ?? []) callsByPart.set(part, new Set([...callsByPart.get(part) ?? [], ...calls]))
  return { ...known, at: Math.min(known.at, reported.at), calls: new Set([...known.calls, ...reported.calls]), callsByPart }
}

/**
 * Creates an empty quarantine.
 *
 * @param options - Limits, listeners and clock.
 * @returns The quarantine.
 */
export function createQuarantine (options: QuarantineOptions): Quarantine {
  const { limits, now } = options
  /** In the order in which they were recorded or last merged, so about oldest first. */
  const ends = new Map<types.BackEndInstanceId, quarantine.BackEndTermination>()
  const endCounts = new Map<computeFingerprint.CallFingerprint, number>()
  const servedAt = new Map<computeFingerprint.CallFingerprint, number>()
  const servedParts = createServedParts.createServedParts(MAXIMUM_SERVED_PARTS)
  /** Ends since a call with a part was last completed; at most as many as are stored. */
  const endsSinceServed = new Map<types.PromptPartId, number>()
  /** Time of the completed call that other gateways were told last, by part under suspicion. */
  const reportedServedAt = new Map<types.PromptPartId, number>()
  /** Parts of lifted blocks, which other gateways have not been told of. */
  const unreportedReleases = new Set<types.PromptPartId>()
  const blocks = new Map<suspects.SuspectId, quarantine.CallBlock>()
  /** The parts that stored blocks name. */
  const blockedParts = new Map<suspects.SuspectId, readonly types.PromptPartId[]>()
  /** Those of them that are blocked because of the evidence that is stored here. */
  const ownPartBlocks = new Set<suspects.SuspectId>()
  const startedAt = now()

  function isInForce ({ count, since }: quarantine.CallBlock): boolean {
    return now() - since < computeBlockMs(count, limits)
  }

  function addToEndCounts ({ calls }: quarantine.BackEndTermination, delta: number): void {
    for (const call of calls) {
      const count = (endCounts.get(call) ?? 0) + delta
      if (count > 0) endCounts.set(call, count)
      else {
        endCounts.delete(call)
        servedAt.delete(call)
      }
    }
  }

  /** Returns the key of the stored end that a report describes, or an unused key with a suffix that distinguishes it from earlier ends under the same id. */
  function findEndKey ({ life, at }: quarantine.BackEndTermination): types.BackEndInstanceId {
    for (let repetition = 0; ; repetition += 1) {
      const key = repetition === 0 ? life : types.brandId<types.BackEndInstanceId>(`${life}~${repetition}`)
      const known = ends.get(key)
      if (known === undefined || Math.abs(known.at - at) <= SAME_END_MS) return key
    }
  }

  function removeEnd (end: quarantine.BackEndTermination): void {
    ends.delete(end.life)
    addToEndCounts(end, -1)
    for (const part of end.callsByPart?.keys() ?? []) {
      if (end.at > servedParts.servedAt(part)) endsSinceServed.set(part, (endsSinceServed.get(part) ?? 0) - 1)
      if (countEndsWith(part, -Infinity, Infinity) > 0) continue
      endsSinceServed.delete(part)
      reportedServedAt.delete(part)
    }
  }

  /** Counts the stored ends of back ends that were running calls with a part, later than one time and not later than another. */
  function countEndsWith (part: types.PromptPartId, after: number, until: number): number {
    let count = 0
    for (const end of ends.values()) if (end.at > after && end.at <= until && end.callsByPart?.has(part) === true) count += 1
    return count
  }

  function expire (): void {
    const oldest = now() - limits.evidenceMs
    for (const end of ends.values()) if (end.at < oldest || ends.size > limits.maximumEnds) removeEnd(end)
    for (const block of blocks.values()) {
      if (now() - block.since >= computeBlockRetentionMs(block.count, limits) || blocks.size > limits.maximumBlocks) deleteBlock(block.fingerprint)
    }
  }

  function findBlock (feature: selectCallsToBlock.Feature): quarantine.CallBlock | undefined {
    // The id of a single part is also the id of the set of that part.
    return blocks.get(types.brandId<suspects.SuspectId>(feature))
  }

  /** The time from which on ends count against a call or a part: after a block that is over, only later ends do. */
  function countEndsFrom (feature: selectCallsToBlock.Feature): number {
    const block = findBlock(feature)
    return block === undefined || isInForce(block) ? -Infinity : block.since + computeBlockMs(block.count, limits)
  }

  function requiredEnds (feature: selectCallsToBlock.Feature): number {
    const block = findBlock(feature)
    if (block !== undefined && !isInForce(block)) return ENDS_ON_PROBATION
    return types.isPromptPartId(feature) && !isKnownAsNeverServed(feature) ? limits.ends + EXTRA_ENDS_OF_SERVED_PART : limits.ends
  }

  function isKnownAsNeverServed (part: types.PromptPartId): boolean {
    return servedParts.servedAt(part) === -Infinity && now() - startedAt >= LEARNING_MS
  }

  function readServedAt (feature: selectCallsToBlock.Feature): number {
    return types.isPromptPartId(feature) ? servedParts.servedAt(feature) : servedAt.get(feature) ?? -Infinity
  }

  /** Cheap check before all ends are examined: most calls and parts that are lost with a back end have no earlier ends and can't be blocked. */
  function hasRequiredEnds (feature: selectCallsToBlock.Feature): boolean {
    const count = types.isPromptPartId(feature) ? endsSinceServed.get(feature) : endCounts.get(feature)
    return (count ?? 0) >= requiredEnds(feature)
  }

  function updateBlocks (): void {
    const { blocked, explained } = selectCallsToBlock.selectCallsToBlock({ ends: ends.values(), servedAt: readServedAt, requiredEnds, countEndsFrom })
    for (const suspect of explained) release(suspect, 'explained')
    for (const suspect of [...ownPartBlocks].filter((own) => isSuperseded(own, blocked, explained))) release(suspect, 'explained')
    for (const call of blocked) {
      const known = blocks.get(call)
      if (known === undefined || !isInForce(known)) addBlock(call, (known?.count ?? 0) + 1)
    }
  }

  /** Whether parts that were blocked after a first report have turned out to be explained, or not to be told from others that came with them. */
  function isSuperseded (suspect: suspects.SuspectId, blocked: ReadonlySet<suspects.SuspectId>, explained: ReadonlySet<suspects.SuspectId>): boolean {
    if (blocked.has(suspect)) return false
    const parts = matchesSuspect.listPartsOf(suspect)
    const isWithin = (other: suspects.SuspectId): boolean => parts.every((part) => matchesSuspect.listPartsOf(other).includes(part))
    const contains = (other: suspects.SuspectId): boolean => matchesSuspect.listPartsOf(other).every((part) => parts.includes(part))
    return [...blocked].some(isWithin) || [...explained].some((other) => isWithin(other) || (types.isPromptPartId(other) && contains(other)))
  }

  function storeBlock (block: quarantine.CallBlock): void {
    const parts = matchesSuspect.listPartsOf(block.fingerprint)
    blocks.set(block.fingerprint, block)
    if (parts.length > 0) blockedParts.set(block.fingerprint, parts)
  }

  function deleteBlock (suspect: suspects.SuspectId): void {
    blocks.delete(suspect)
    blockedParts.delete(suspect)
    ownPartBlocks.delete(suspect)
  }

  function listMatchingPartSets (parts: readonly types.PromptPartId[]): suspects.SuspectId[] {
    if (parts.length === 0) return []
    return [...blockedParts].filter(([, blocked]) => blocked.every((part) => parts.includes(part))).map(([suspect]) => suspect)
  }

  function addBlock (fingerprint: suspects.SuspectId, count: number): void {
    const added = { fingerprint, count, since: now() }
    storeBlock(added)
    if (blockedParts.has(fingerprint)) ownPartBlocks.add(fingerprint)
    options.onBlocked(added, [...ends.values()].filter((end) => selectCallsToBlock.wasRunning(end, fingerprint)).map(({ life }) => life))
  }

  /** Lifts a block that is in force. */
  function release (call: suspects.SuspectId, reason: ReleaseReason): void {
    const known = blocks.get(call)
    if (known === undefined || !isInForce(known)) return
    deleteBlock(call)
    options.onReleased(known, reason)
  }

  /** Ends the block or the probation of a call that was completed after the block began; returns whether there was one. */
  function unblockServed (call: suspects.SuspectId, at: number): boolean {
    const block = blocks.get(call)
    if (block === undefined || at <= block.since) return false
    release(call, 'served')
    deleteBlock(call)
    return true
  }

  function readBlockedMs (suspect: suspects.SuspectId): number | null {
    const block = blocks.get(suspect)
    if (block === undefined || !isInForce(block)) return null
    return block.since + computeBlockMs(block.count, limits) - now()
  }

  function noteEndOfPart (part: types.PromptPartId, at: number): void {
    const count = endsSinceServed.get(part) ?? 0
    endsSinceServed.set(part, at > servedParts.servedAt(part) ? count + 1 : count)
  }

  /** Whether other gateways may count ends against a part although a call with it was completed at a later time than they know. */
  function hasUnreportedService (part: types.PromptPartId): boolean {
    if (unreportedReleases.has(part)) return true
    const at = servedParts.servedAt(part)
    const reportedAt = reportedServedAt.get(part)
    if (at === -Infinity || !endsSinceServed.has(part)) return false
    return reportedAt === undefined || countEndsWith(part, reportedAt, at) >= ENDS_TO_SHARE_SERVED
  }

  function wasServedSince ({ fingerprint, since }: quarantine.CallBlock): boolean {
    return wereAllServed(fingerprint, since) || (servedAt.get(fingerprint as computeFingerprint.CallFingerprint) ?? -Infinity) > since
  }

  /** Whether calls with all parts of a set were completed after, or right before, a time. */
  function wereAllServed (suspect: suspects.SuspectId, since: number): boolean {
    const parts = matchesSuspect.listPartsOf(suspect)
    return parts.length > 0 && parts.every((part) => servedParts.servedAt(part) > since - RECENTLY_SERVED_MS)
  }

  function notePartServed (part: types.PromptPartId, at: number): void {
    const wasKnown = servedParts.servedAt(part) > -Infinity
    if (!servedParts.note(part, at)) return
    if (endsSinceServed.has(part)) endsSinceServed.set(part, countEndsWith(part, at, Infinity))
    const named = [...blockedParts].filter(([, parts]) => parts.includes(part))
    for (const [suspect, parts] of named) {
      if (!wereAllServed(suspect, blocks.get(suspect)?.since ?? Infinity)) continue
      unblockServed(suspect, Infinity)
      for (const released of parts) unreportedReleases.add(released)
    }
    // The other parts that it could not be told from are now suspected alone.
    if (!wasKnown && named.length > 0) updateBlocks()
  }

  return {
    noteEnd: (end) => {
      expire()
      if (now() - end.at > limits.evidenceMs) return
      const life = findEndKey(end)
      const known = ends.get(life)
      const hasNewCalls = known === undefined || [...end.calls].some((call) => !known.calls.has(call))
      const newParts = [...end.callsByPart?.keys() ?? []].filter((part) => known?.callsByPart?.has(part) !== true)
      const hasNewCallsOfParts = [...end.callsByPart ?? []].some(([part, calls]) => [...calls].some((call) => known?.callsByPart?.get(part)?.has(call) !== true))
      if (!hasNewCalls && !hasNewCallsOfParts) return
      const merged = known === undefined ? { ...end, life } : mergeEnds(known, { ...end, life })
      ends.delete(life)
      ends.set(life, merged)
      addToEndCounts(merged, 1)
      // Only now, since the record that a call was completed is dropped when its count falls to 0.
      if (known !== undefined) addToEndCounts(known, -1)
      for (const part of newParts) noteEndOfPart(part, merged.at)
      if ([...merged.calls, ...merged.callsByPart?.keys() ?? []].some(hasRequiredEnds)) updateBlocks()
    },
    noteServed: (call, at) => {
      const count = endCounts.get(call) ?? 0
      const before = servedAt.get(call) ?? -Infinity
      const wasUnblocked = unblockServed(call, at)
      if (count === 0 || at <= before) return wasUnblocked
      servedAt.set(call, at)
      return wasUnblocked || count >= ENDS_TO_SHARE_SERVED
    },
    noteBlock: (received) => {
      expire()
      const known = blocks.get(received.fingerprint)
      if (now() - received.since >= computeBlockRetentionMs(received.count, limits)) return
      if (known !== undefined && known.count >= received.count) return
      if (wasServedSince(received)) return
      storeBlock(received)
      if (isInForce(received)) options.onBlocked(received, [])
      updateBlocks()
    },
    notePartsServed: (parts, at) => { for (const part of parts) notePartServed(part, at) },
    noteServedReport: ({ part, at }) => {
      if (endsSinceServed.has(part)) reportedServedAt.set(part, Math.max(at, reportedServedAt.get(part) ?? -Infinity))
      notePartServed(part, at)
      unreportedReleases.delete(part)
    },
    takeServedToReport: (parts) => {
      const unreported = parts.filter(hasUnreportedService).map((part) => ({ part, at: servedParts.servedAt(part) }))
      for (const { part, at } of unreported) {
        if (endsSinceServed.has(part)) reportedServedAt.set(part, at)
        unreportedReleases.delete(part)
      }
      return unreported
    },
    isSuspicious: (part) => now() - servedParts.servedAt(part) > COMMON_USE_MS,
    readBlockedMs,
    readCallBlockedMs: (call) => {
      const suspects = [call.fingerprint(), ...listMatchingPartSets(call.parts)]
      return suspects.map(readBlockedMs).reduce((longest, leftMs) => leftMs === null || (longest ?? 0) > leftMs ? longest : leftMs, null)
    },
    isActive: () => blocks.size > 0 || ends.size > 0,
    blocks: () => [...blocks.values()].filter(isInForce),
    countEnds: () => ends.size,
    countSuspectedParts: () => endsSinceServed.size,
    countSuspects: () => [...endCounts.keys()].filter((call) => !servedAt.has(call)).length
  }
}
