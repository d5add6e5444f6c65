/** Facts that gateways share about calls that terminate backend servers. */
import * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'
import * as factCodes from './factCodes.js'

/** A fact about the quarantine. */
export type QuarantineFact =
  /** A backend server terminated while it ran these calls of the gateway that shares the fact. */
  | { readonly kind: 'end', readonly life: types.BackEndInstanceId, readonly calls: readonly quarantine.CallFingerprint[] }
  /** The same backend server was running calls with these parts in their prompts; each part comes with some of these calls. */
  | { readonly kind: 'end-of-parts', readonly life: types.BackEndInstanceId, readonly callsByPart: quarantine.CallsByPart }
  /** A suspected call was answered completely. */
  | { readonly kind: 'served', readonly call: quarantine.CallFingerprint }
  /** A call with a suspected part in its prompt was answered completely. */
  | { readonly kind: 'part-served', readonly part: types.PromptPartId }
  /** A call, or calls with certain parts, were blocked; `count` is the number of times that they have been blocked, from 1. */
  | { readonly kind: 'block', readonly call: quarantine.SuspectId, readonly count: number }

/** Maximum number of calls in one fact, so that the fact fits into a datagram; further calls go into another fact. */
export const MAXIMUM_CALLS_PER_FACT = 48
/** The same for parts, and for the calls that are named with one of them: one call more than would be needed to tell a part from its calls, and some for those that get lost. */
export const MAXIMUM_PARTS_PER_FACT = 8
export const MAXIMUM_CALLS_PER_PART = 4

/** Encodes a fact as an array, which is short in JSON. */
export function formatFact (fact: QuarantineFact): unknown[] {
  if (fact.kind === 'end') return [factCodes.FACT_CODES.backEndEnd, fact.life, ...fact.calls]
  if (fact.kind === 'end-of-parts') return [factCodes.FACT_CODES.partsOfBackEndEnd, fact.life, ...[...fact.callsByPart].map(([part, calls]) => [part, ...calls])]
  if (fact.kind === 'part-served') return [factCodes.FACT_CODES.partServed, fact.part]
  return fact.kind === 'served' ? [factCodes.FACT_CODES.callServed, fact.call] : [factCodes.FACT_CODES.block, fact.call, fact.count]
}

/** Decodes a fact; null if it is malformed or not about the quarantine. */
export function parseFact (content: unknown): QuarantineFact | null {
  if (!Array.isArray(content)) return null
  const [kind, ...rest] = content as unknown[]
  if (kind === factCodes.FACT_CODES.backEndEnd) return parseEnd(rest)
  if (kind === factCodes.FACT_CODES.partsOfBackEndEnd) return parseEndOfParts(rest)
  const [subject, count] = rest
  if (kind === factCodes.FACT_CODES.callServed) return quarantine.isFingerprint(subject) ? { kind: 'served', call: subject } : null
  if (kind === factCodes.FACT_CODES.partServed) return types.isPromptPartId(subject) ? { kind: 'part-served', part: subject } : null
  if (kind !== factCodes.FACT_CODES.block || !quarantine.isSuspectId(subject)) return null
  return Number.isInteger(count) && (count as number) > 0 ? { kind: 'block', call: subject, count: count as number } : null
}

function parseEndOfParts ([life, ...entries]: readonly unknown[]): QuarantineFact | null {
  if (!types.isBackEndInstanceId(life) || entries.length === 0 || entries.length > MAXIMUM_PARTS_PER_FACT) return null
  const callsByPart = new Map<types.PromptPartId, ReadonlySet<quarantine.CallFingerprint>>()
  for (const entry of entries) {
    if (!Array.isArray(entry)) return null
    const [part, ...calls] = entry as unknown[]
    if (!types.isPromptPartId(part) || calls.length === 0 || calls.length > MAXIMUM_CALLS_PER_PART || !calls.every(quarantine.isFingerprint)) return null
    callsByPart.set(part, new Set(calls))
  }
  return { kind: 'end-of-parts', life, callsByPart }
}

function parseEnd ([life, ...calls]: readonly unknown[]): QuarantineFact | null {
  if (!types.isBackEndInstanceId(life)) return null
  if (calls.length === 0 || calls.length > MAXIMUM_CALLS_PER_FACT || !calls.every(quarantine.isFingerprint)) return null
  return { kind: 'end', life, calls }
}
