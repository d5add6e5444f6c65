/** Records which calls were lost when back ends ended, and which calls are blocked for it. */
import * as types from '@switchridge/types'
import type * as computeFingerprint from '../computeFingerprint/index.js'
import * as selectCallsToBlock from '../selectCallsToBlock/index.js'
import * as quarantine from '../types/index.js'

/** Why a block was lifted early: another call explains the ends, or the call was completed after all. */
export type ReleaseReason = 'explained' | 'served'

/** Options of {@link createQuarantine}. */
export interface QuarantineOptions {
  readonly limits: quarantine.QuarantineLimits
  /** Called for each call that is blocked, with the back ends that ended while running it, as far as known; the list is empty for a block from another gateway or from the store. */
  readonly onBlocked: (block: quarantine.CallBlock, lives: readonly types.BackEndInstanceId[]) => void
  /** Called for each block that is lifted early. */
  readonly onReleased: (block: quarantine.CallBlock, reason: ReleaseReason) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** What one gateway knows of calls that crash back ends, from its own observations and from other gateways. */
export interface Quarantine {
  /** Records the end of a back end with calls that were lost; reports of other gateways about the same end are merged. */
  readonly noteEnd: (end: quarantine.BackEndTermination) => void
  /** Records that a call was completed at a monotonic time in milliseconds; returns whether to tell other gateways, since the call was blocked or is suspected of more than one end. */
  readonly noteServed: (call: computeFingerprint.CallFingerprint, at: number) => boolean
  /** Adopts a block from another gateway or from the store, unless it has expired, is not newer than the known one, or the call was completed after it began. */
  readonly noteBlock: (block: quarantine.CallBlock) => void
  /** Milliseconds for which a call is still blocked; null if it may run. */
  readonly readBlockedMs: (call: computeFingerprint.CallFingerprint) => number | null
  /** Whether any end or block is stored; otherwise callers needn't compute fingerprints. */
  readonly isActive: () => boolean
  /** All blocks in force. */
  readonly blocks: () => quarantine.CallBlock[]
  /** Number of calls that were lost with a back end whose end is stored, and that were not completed after any such loss. */
  readonly countSuspects: () => number
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
  const blocks = new Map<computeFingerprint.CallFingerprint, quarantine.CallBlock>()

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
  }

  function expire (): void {
    const oldest = now() - limits.evidenceMs
    for (const end of ends.values()) if (end.at < oldest || ends.size > limits.maximumEnds) removeEnd(end)
    for (const block of blocks.values()) {
      if (now() - block.since >= computeBlockRetentionMs(block.count, limits) || blocks.size > limits.maximumBlocks) blocks.delete(block.fingerprint)
    }
  }

  /** The time from which on ends count against a call: after a block that is over, only later ends do. */
  function countEndsFrom (call: computeFingerprint.CallFingerprint): number {
    const block = blocks.get(call)
    return block === undefined || isInForce(block) ? -Infinity : block.since + computeBlockMs(block.count, limits)
  }

  function requiredEnds (call: computeFingerprint.CallFingerprint): number {
    const block = blocks.get(call)
    return block === undefined || isInForce(block) ? limits.ends : ENDS_ON_PROBATION
  }

  /** Cheap check before all ends are examined: most calls that are lost with a back end have no earlier ends and can't be blocked. */
  function hasRequiredEnds (call: computeFingerprint.CallFingerprint): boolean {
    return (endCounts.get(call) ?? 0) >= requiredEnds(call)
  }

  function updateBlocks (): void {
    const { blocked, explained } = selectCallsToBlock.selectCallsToBlock({ ends: ends.values(), servedAt: (call) => servedAt.get(call) ?? -Infinity, requiredEnds, countEndsFrom })
    for (const call of explained) release(call, 'explained')
    for (const call of blocked) {
      const known = blocks.get(call)
      if (known === undefined || !isInForce(known)) addBlock(call, (known?.count ?? 0) + 1)
    }
  }

  function addBlock (fingerprint: computeFingerprint.CallFingerprint, count: number): void {
    const added = { fingerprint, count, since: now() }
    blocks.set(fingerprint, added)
    options.onBlocked(added, [...ends.values()].filter(({ calls }) => calls.has(fingerprint)).map(({ life }) => life))
  }

  /** Lifts a block that is in force. */
  function release (call: computeFingerprint.CallFingerprint, reason: ReleaseReason): void {
    const known = blocks.get(call)
    if (known === undefined || !isInForce(known)) return
    blocks.delete(call)
    options.onReleased(known, reason)
  }

  /** Ends the block or the probation of a call that was completed after the block began; returns whether there was one. */
  function unblockServed (call: computeFingerprint.CallFingerprint, at: number): boolean {
    const block = blocks.get(call)
    if (block === undefined || at <= block.since) return false
    release(call, 'served')
    blocks.delete(call)
    return true
  }

  return {
    noteEnd: (end) => {
      expire()
      if (now() - end.at > limits.evidenceMs) return
      const life = findEndKey(end)
      const known = ends.get(life)
      const hasNewCalls = known === undefined || [...end.calls].some((call) => !known.calls.has(call))
      if (!hasNewCalls) return
      const merged = known === undefined ? { ...end, life } : { ...known, at: Math.min(known.at, end.at), calls: new Set([...known.calls, ...end.calls]) }
      ends.delete(life)
      ends.set(life, merged)
      addToEndCounts(merged, 1)
      // Only now, since the record that a call was completed is dropped when its count falls to 0.
      if (known !== undefined) addToEndCounts(known, -1)
      if ([...merged.calls].some(hasRequiredEnds)) updateBlocks()
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
      if ((servedAt.get(received.fingerprint) ?? -Infinity) > received.since) return
      blocks.set(received.fingerprint, received)
      if (isInForce(received)) options.onBlocked(received, [])
      updateBlocks()
    },
    readBlockedMs: (call) => {
      const block = blocks.get(call)
      if (block === undefined || !isInForce(block)) return null
      return block.since + computeBlockMs(block.count, limits) - now()
    },
    isActive: () => blocks.size > 0 || ends.size > 0,
    blocks: () => [...blocks.values()].filter(isInForce),
    countEnds: () => ends.size,
    countSuspects: () => [...endCounts.keys()].filter((call) => !servedAt.has(call)).length
  }
}
