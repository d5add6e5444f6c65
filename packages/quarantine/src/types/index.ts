/** Types of the evidence against calls and parts of prompts, of blocks and of their limits. */
import type * as types from '@switchridge/types'
import type * as computeFingerprint from '../computeFingerprint/index.js'
import type * as suspects from './suspects.js'

/** The unexpected end of a back end process, with the calls that were lost with it. */
export interface BackEndTermination {
  readonly life: types.BackEndInstanceId
  /** Monotonic time in milliseconds at which a gateway first noticed the end. */
  readonly at: number
  /** Calls that it was running or had queued, as far as gateways have reported them. */
  readonly calls: ReadonlySet<computeFingerprint.CallFingerprint>
  /** Parts that the prompts of these calls had, as far as they are known; none when absent. */
  readonly callsByPart?: suspects.CallsByPart
}

/** A call, or all calls with certain parts in their prompts, that all gateways refuse for a limited time. */
export interface CallBlock {
  readonly fingerprint: suspects.SuspectId
  /** Number of times it has been blocked, including this one. */
  readonly count: number
  /** Monotonic time in milliseconds at which the block began. */
  readonly since: number
}

/** Limits of the quarantine. */
export interface QuarantineLimits {
  /** Number of back ends that must have ended while running a call, or calls with a part, before it is blocked. */
  readonly ends: number
  /** Milliseconds for which the end of a back end counts against the calls that were lost with it. */
  readonly evidenceMs: number
  /** Milliseconds of a call's first block; each later one lasts {@link BLOCK_FACTOR} times as long. */
  readonly blockMs: number
  /** Longest block, in milliseconds. */
  readonly maximumBlockMs: number
  /** Maximum number of ends and of blocks that are stored; the oldest ones are removed first. */
  readonly maximumEnds: number
  readonly maximumBlocks: number
}

/** Blocks of ten minutes, forty minutes, two hours and forty minutes and so on: a call that keeps crashing back ends costs some ten engines in the first month. */
export const BLOCK_FACTOR = 4
