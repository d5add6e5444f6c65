/** Facts that gateways share about calls that terminate backend servers. */
import * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'

/** A fact about the quarantine. */
export type QuarantineFact =
  /** A backend server terminated while it ran these calls of the gateway that shares the fact. */
  | { readonly kind: 'end', readonly life: types.BackEndInstanceId, readonly calls: readonly quarantine.CallFingerprint[] }
  /** A suspected call was answered completely. */
  | { readonly kind: 'served', readonly call: quarantine.CallFingerprint }
  /** A call was blocked; `count` is the number of times that it has been blocked, from 1. */
  | { readonly kind: 'block', readonly call: quarantine.CallFingerprint, readonly count: number }

const END_CODE = 'e'
const SERVED_CODE = 's'
const BLOCK_CODE = 'b'
/** Maximum number of calls in one fact, so that the fact fits into a datagram; further calls go into another fact. */
export const MAXIMUM_CALLS_PER_FACT = 48

/** Encodes a fact as an array, which is short in JSON. */
export function formatFact (fact: QuarantineFact): unknown[] {
  if (fact.kind === 'end') return [END_CODE, fact.life, ...fact.calls]
  return fact.kind === 'served' ? [SERVED_CODE, fact.call] : [BLOCK_CODE, fact.call, fact.count]
}

/** Decodes a fact; null if it is malformed or not about the quarantine. */
export function parseFact (content: unknown): QuarantineFact | null {
  if (!Array.isArray(content)) return null
  const [kind, ...rest] = content as unknown[]
  if (kind === END_CODE) return parseEnd(rest)
  const [call, count] = rest
  if (!quarantine.isFingerprint(call)) return null
  if (kind === SERVED_CODE) return { kind: 'served', call }
  return kind === BLOCK_CODE && Number.isInteger(count) && (count as number) > 0 ? { kind: 'block', call, count: count as number } : null
}

function parseEnd ([life, ...calls]: readonly unknown[]): QuarantineFact | null {
  if (!types.isBackEndInstanceId(life)) return null
  if (calls.length === 0 || calls.length > MAXIMUM_CALLS_PER_FACT || !calls.every(quarantine.isFingerprint)) return null
  return { kind: 'end', life, calls }
}
