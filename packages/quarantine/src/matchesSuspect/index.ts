/** Ids of what blocks apply to, and whether a call is meant by one. */
import * as types from '@switchridge/types'
import * as computeFingerprint from '../computeFingerprint/index.js'
import type * as suspects from '../types/suspects.js'

/** A block that applies to calls with more parts in common names only the first ones, so that its id stays short. */
const MAXIMUM_PARTS = 8
const SEPARATOR = '+'

/**
 * Formats the id of a set of parts.
 *
 * @param parts - The parts, in any order; at most eight are kept.
 * @returns The id, the same for the same parts.
 */
export function formatPartSet (parts: Iterable<types.PromptPartId>): suspects.PartSetId {
  return types.brandId<suspects.PartSetId>([...new Set(parts)].sort().slice(0, MAXIMUM_PARTS).join(SEPARATOR))
}

/** Returns the parts that a suspect names; none if it is a single call. */
export function listPartsOf (suspect: suspects.SuspectId): types.PromptPartId[] {
  return suspect.split(SEPARATOR).filter(types.isPromptPartId)
}

/** Whether a value received from outside this process is a valid id of a suspect. */
export function isSuspectId (value: unknown): value is suspects.SuspectId {
  if (computeFingerprint.isFingerprint(value)) return true
  if (typeof value !== 'string') return false
  const parts = value.split(SEPARATOR)
  return parts.every(types.isPromptPartId) && formatPartSet(parts as types.PromptPartId[]) === value
}

/**
 * Tells whether a block of a suspect applies to a call.
 *
 * @param suspect - A call, or parts of prompts.
 * @param call - The call; its fingerprint is computed only if the suspect is a call.
 * @returns Whether the call is the suspect, or has all parts that it names.
 */
export function matchesSuspect (suspect: suspects.SuspectId, call: suspects.CallFeatures): boolean {
  const parts = listPartsOf(suspect)
  return parts.length === 0 ? call.fingerprint() === suspect : parts.every((part) => call.parts.includes(part))
}
