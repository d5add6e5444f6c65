/** Types of the evidence against calls, of blocks and of their limits. */
import type * as types from '@switchridge/types'
import type * as computeFingerprint from '../computeFingerprint/index.js'

/** What can be recognized of a call when it, or another call that has something in common with it, is sent again. */
export interface CallFeatures {
  /** Computed on first use, since it covers the whole body. */
  readonly fingerprint: () => computeFingerprint.CallFingerprint
  /** Parts of its prompt that other calls may share. */
  readonly parts: readonly types.PromptPartId[]
}

/** The unexpected end of a back end process, with the calls that were lost with it. */
export interface BackEndTermination {
  readonly life: types.BackEndInstanceId
  /** Monotonic time in milliseconds at which a gateway first noticed the end. */
  readonly at: number
  /** Calls that it was running or had queued, as far as gateways have reported them. */
  readonly calls: ReadonlySet<computeFingerprint.CallFingerprint>
}

/** A call that all gateways refuse for a limited time. */
export interface CallBlock {
  readonly fingerprint: computeFingerprint.CallFingerprint
  /** Number of times the call has been blocked, including this one. */
  readonly count: number
  /** Monotonic time in milliseconds at which the block began. */
  readonly since: number
}

/** Limits of the quarantine. */
export interface QuarantineLimits {
  /** Number of back ends that must have ended while running a call before it is blocked. */
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
