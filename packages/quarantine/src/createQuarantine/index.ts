/** Remembers under which calls back ends ended, and which calls are refused for it. */
import * as types from '@switchridge/types'
import type * as identifyCall from '../identifyCall/index.js'
import * as selectBlocked from '../selectBlocked/index.js'
import * as quarantine from '../types/index.js'

/** Why a block ended before its time: another call explains the ends, or the call was served after all. */
export type ReleaseReason = 'explained' | 'served'

/** Options of {@link createQuarantine}. */
export interface QuarantineOptions {
  readonly limits: quarantine.QuarantineLimits
  /** Told of each call that is blocked, with the back ends that ended under it as far as they are known. */
  readonly onBlocked: (block: quarantine.CallBlock, lives: readonly types.BackEndLife[]) => void
  readonly onReleased: (block: quarantine.CallBlock, reason: ReleaseReason) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** What one gateway knows of calls that end back ends, from itself and from others. */
export interface Quarantine {
  /** Notes a back end's end with calls that it took along; what others tell of the same end is added. */
  readonly noteEnd: (end: quarantine.BackEndEnd) => void
  /** Notes that a call was served to its end; returns whether others should know, since the call is suspected of more than one end. */
  readonly noteServed: (call: identifyCall.CallFingerprint, at: number) => boolean
  /** Takes over a block from another gateway or from the store. */
  readonly noteBlock: (block: quarantine.CallBlock) => void
  /** Milliseconds for which a call is still blocked; null when it may run. */
  readonly findBlock: (call: identifyCall.CallFingerprint) => number | null
  /** Whether any call is suspected or blocked; otherwise nobody needs to know which call is which. */
  readonly isActive: () => boolean
  /** Blocks in force. */
  readonly blocks: () => quarantine.CallBlock[]
  /** Calls that were there when a back end ended, and were not served since. */
  readonly countSuspects: () => number
  /** Ends that are remembered. */
  readonly countEnds: () => number
}

/** Milliseconds that a block lasts. */
export function computeBlockMs (count: number, limits: Pick<quarantine.QuarantineLimits, 'blockMs' | 'maximumBlockMs'>): number {
  return Math.min(limits.maximumBlockMs, limits.blockMs * quarantine.BLOCK_FACTOR ** (count - 1))
}

/** Milliseconds for which a block is remembered: after it the call may run, and for as long again one end blocks it anew. */
export function computeBlockKeptMs (count: number, limits: Pick<quarantine.QuarantineLimits, 'blockMs' | 'maximumBlockMs'>): number {
  return 2 * computeBlockMs(count, limits)
}

/**
 * Ends of one name that are further apart are two: a back end may start again under its id before its new life is known everywhere, and needs longer than
 * this. Words of one end differ by what was under way.
 */
const SAME_END_MS = 1000
/** Ends of calls that were blocked before: one is enough. */
const ENDS_ON_PROBATION = 1
/** Others hear that a call was served if it is suspected of so many ends. */
const SUSPECTED_ENDS = 2

/**
 * Creates an empty quarantine.
 *
 * @param options - Limits, listeners and clock.
 * @returns The quarantine.
 */
export function createQuarantine (options: QuarantineOptions): Quarantine {
  const { limits, now } = options
  /** The oldest first. */
  const ends = new Map<types.BackEndLife, quarantine.BackEndEnd>()
  const endCounts = new Map<identifyCall.CallFingerprint, number>()
  const servedAt = new Map<identifyCall.CallFingerprint, number>()
  const blocks = new Map<identifyCall.CallFingerprint, quarantine.CallBlock>()

  function isInForce ({ count, since }: quarantine.CallBlock): boolean {
    return now() - since < computeBlockMs(count, limits)
  }

  function countCalls ({ calls }: quarantine.BackEndEnd, by: number): void {
    for (const call of calls) {
      const count = (endCounts.get(call) ?? 0) + by
      if (count > 0) endCounts.set(call, count)
      else {
        endCounts.delete(call)
        servedAt.delete(call)
      }
    }
  }

  /** The end that is remembered and meant, if there is one, under the name that tells it apart from earlier ones. */
  function findLife ({ life, at }: quarantine.BackEndEnd): types.BackEndLife {
    for (let again = 0; ; again += 1) {
      const name = again === 0 ? life : types.brandId<types.BackEndLife>(`${life}~${again}`)
      const known = ends.get(name)
      if (known === undefined || Math.abs(known.at - at) <= SAME_END_MS) return name
    }
  }

  function removeEnd (end: quarantine.BackEndEnd): void {
    ends.delete(end.life)
    countCalls(end, -1)
  }

  function expire (): void {
    const oldest = now() - limits.evidenceMs
    for (const end of ends.values()) if (end.at < oldest || ends.size > limits.maximumEnds) removeEnd(end)
    for (const block of blocks.values()) {
      if (now() - block.since >= computeBlockKeptMs(block.count, limits) || blocks.size > limits.maximumBlocks) blocks.delete(block.fingerprint)
    }
  }

  /** From when on ends count against a call: after a block that is over, only later ones. */
  function countFrom (call: identifyCall.CallFingerprint): number {
    const block = blocks.get(call)
    return block === undefined || isInForce(block) ? -Infinity : block.since + computeBlockMs(block.count, limits)
  }

  function limitOf (call: identifyCall.CallFingerprint): number {
    const block = blocks.get(call)
    return block === undefined || isInForce(block) ? limits.ends : ENDS_ON_PROBATION
  }

  /** Most calls at an end are new there, and change nothing. Looking at all ends for them, too, would be most of the work. */
  function mayBeBlocked (call: identifyCall.CallFingerprint): boolean {
    return (endCounts.get(call) ?? 0) >= limitOf(call)
  }

  function judge (): void {
    const { blocked, explained } = selectBlocked.selectBlocked({ ends: ends.values(), servedAt: (call) => servedAt.get(call) ?? -Infinity, limitOf, countFrom })
    for (const call of explained) release(call, 'explained')
    for (const call of blocked) {
      const known = blocks.get(call)
      if (known === undefined || !isInForce(known)) block(call, (known?.count ?? 0) + 1)
    }
  }

  function block (fingerprint: identifyCall.CallFingerprint, count: number): void {
    const added = { fingerprint, count, since: now() }
    blocks.set(fingerprint, added)
    options.onBlocked(added, [...ends.values()].filter(({ calls }) => calls.has(fingerprint)).map(({ life }) => life))
  }

  function release (call: identifyCall.CallFingerprint, reason: ReleaseReason): void {
    const known = blocks.get(call)
    if (known === undefined || !isInForce(known)) return
    blocks.delete(call)
    options.onReleased(known, reason)
  }

  /** A call that was served is no longer blocked, nor on probation. */
  function clear (call: identifyCall.CallFingerprint, at: number): boolean {
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
      const life = findLife(end)
      const known = ends.get(life)
      const isNews = known === undefined || [...end.calls].some((call) => !known.calls.has(call))
      if (!isNews) return
      if (known !== undefined) removeEnd(known)
      const merged = known === undefined ? { ...end, life } : { ...known, at: Math.min(known.at, end.at), calls: new Set([...known.calls, ...end.calls]) }
      ends.set(life, merged)
      countCalls(merged, 1)
      if ([...merged.calls].some(mayBeBlocked)) judge()
    },
    noteServed: (call, at) => {
      const count = endCounts.get(call) ?? 0
      const before = servedAt.get(call) ?? -Infinity
      const isCleared = clear(call, at)
      if (count === 0 || at <= before) return isCleared
      servedAt.set(call, at)
      return isCleared || count >= SUSPECTED_ENDS
    },
    noteBlock: (told) => {
      expire()
      const known = blocks.get(told.fingerprint)
      if (now() - told.since >= computeBlockKeptMs(told.count, limits)) return
      if (known !== undefined && known.count >= told.count) return
      if ((servedAt.get(told.fingerprint) ?? -Infinity) > told.since) return
      blocks.set(told.fingerprint, told)
      if (isInForce(told)) options.onBlocked(told, [])
      judge()
    },
    findBlock: (call) => {
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
