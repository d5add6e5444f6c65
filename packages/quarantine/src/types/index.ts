/** Shapes of the evidence against calls, and of what follows from it. */
import type * as types from '@switchridge/types'
import type * as identifyCall from '../identifyCall/index.js'

/** The end of a back end, with the calls that it took along. */
export interface BackEndEnd {
  readonly life: types.BackEndLife
  /** Monotonic time in milliseconds. */
  readonly at: number
  /** Calls that it was running or held in its queue, as far as gateways told. */
  readonly calls: ReadonlySet<identifyCall.CallFingerprint>
}

/** A call that is refused everywhere for a while. */
export interface CallBlock {
  readonly fingerprint: identifyCall.CallFingerprint
  /** How often the call was blocked so far, this time included. */
  readonly count: number
  /** Monotonic time in milliseconds. */
  readonly since: number
}

/** Limits of the quarantine. */
export interface QuarantineLimits {
  /** Ends of back ends under a call after which it is blocked. */
  readonly ends: number
  /** Milliseconds for which an end counts against the calls that it took along. */
  readonly evidenceMs: number
  /** Milliseconds of a call's first block; each later one lasts {@link BLOCK_FACTOR} times longer. */
  readonly blockMs: number
  /** No block is longer, in milliseconds. */
  readonly maximumBlockMs: number
  /** Ends that are remembered, and blocks; the oldest ones give way. */
  readonly maximumEnds: number
  readonly maximumBlocks: number
}

/** Ten minutes, forty, two hours and forty minutes and so on: a call that stays lethal costs some ten engines in the first month. */
export const BLOCK_FACTOR = 4
