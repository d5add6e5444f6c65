/** What may crash back ends: a single call, or parts of prompts that calls share. */
import type * as types from '@switchridge/types'
import type * as computeFingerprint from '../computeFingerprint/index.js'

/** What can be recognized of a call when it, or another call that has something in common with it, is sent again. */
export interface CallFeatures {
  /** Computed on first use, since it covers the whole body. */
  readonly fingerprint: () => computeFingerprint.CallFingerprint
  /** Parts of its prompt that other calls may share. */
  readonly parts: readonly types.PromptPartId[]
}

/** Identifies a set of parts; a call matches it if its prompt has all of them. The ids of the parts in ascending order, joined by `+`. */
export type PartSetId = types.Branded<'PartSetId'>

/** What a block applies to: one call, or all calls whose prompts have certain parts. */
export type SuspectId = computeFingerprint.CallFingerprint | PartSetId

/** Parts of prompts that calls lost with a back end had, each with the fingerprints of these calls. */
export type CallsByPart = ReadonlyMap<types.PromptPartId, ReadonlySet<computeFingerprint.CallFingerprint>>
