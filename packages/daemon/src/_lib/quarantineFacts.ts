/** What gateways tell each other of calls that end back ends. */
import * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'

/** A fact of the quarantine. */
export type QuarantineFact =
  /** A back end ended with these calls of the teller. */
  | { readonly kind: 'end', readonly life: types.BackEndLife, readonly calls: readonly quarantine.CallFingerprint[] }
  /** A suspected call was served to its end. */
  | { readonly kind: 'served', readonly call: quarantine.CallFingerprint }
  /** A call was blocked, for the so many-th time. */
  | { readonly kind: 'block', readonly call: quarantine.CallFingerprint, readonly count: number }

const END = 'e'
const SERVED = 's'
const BLOCK = 'b'
/** Calls in one fact, so that it fits into a datagram; those beyond go into another one. */
export const MAXIMUM_CALLS = 48

/** Formats a fact as a list that is short in JSON. */
export function formatFact (fact: QuarantineFact): unknown[] {
  if (fact.kind === 'end') return [END, fact.life, ...fact.calls]
  return fact.kind === 'served' ? [SERVED, fact.call] : [BLOCK, fact.call, fact.count]
}

/** Parses a fact; null for what is none. */
export function parseFact (content: unknown): QuarantineFact | null {
  if (!Array.isArray(content)) return null
  const [kind, ...rest] = content as unknown[]
  if (kind === END) return parseEnd(rest)
  const [call, count] = rest
  if (!quarantine.isFingerprint(call)) return null
  if (kind === SERVED) return { kind: 'served', call }
  return kind === BLOCK && Number.isInteger(count) && (count as number) > 0 ? { kind: 'block', call, count: count as number } : null
}

function parseEnd ([life, ...calls]: readonly unknown[]): QuarantineFact | null {
  if (!types.isLife(life)) return null
  if (calls.length === 0 || calls.length > MAXIMUM_CALLS || !calls.every(quarantine.isFingerprint)) return null
  return { kind: 'end', life, calls }
}
