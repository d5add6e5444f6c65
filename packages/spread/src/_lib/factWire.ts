/** Datagram format of the fact exchange: JSON arrays that begin with the kind. */
import * as types from '@switchridge/types'
import * as wire from './wire.js'

/** A fact as it is sent. */
export interface WireFact {
  readonly id: string
  /** Milliseconds since its creation. */
  readonly ageMs: number
  /** Milliseconds from its creation until it expires. */
  readonly ttlMs: number
  readonly content: unknown
}

/** A datagram: facts, or a digest of all facts that the sender knows. */
export type FactMessage =
  | { readonly type: 'facts', readonly facts: readonly WireFact[] }
  /** `expectsReply`: the receiver answers with its own digest; `count`: number of the sender's facts. */
  | { readonly type: 'digest', readonly hash: number, readonly count: number, readonly expectsReply: boolean }

const FACTS_PREFIX = '["f",'
const DIGEST_PREFIX = '["q",'
const MAXIMUM_ID_LENGTH = 80

/** Formats facts, split into datagrams; a fact that is too long for a datagram gets one of its own. */
export function formatFacts (facts: readonly WireFact[]): string[] {
  if (facts.length === 0) return []
  const items = facts.map(({ id, ageMs, ttlMs, content }) => JSON.stringify([id, Math.round(ageMs), Math.round(ttlMs), content]))
  return wire.splitBySize(items, FACTS_PREFIX.length + '[]]'.length, 0).map((part) => `${FACTS_PREFIX}[${part.join()}]]`)
}

/** Formats a digest of all facts. */
export function formatFactDigest (hash: number, count: number, expectsReply: boolean): string {
  return `${DIGEST_PREFIX}${hash},${count},${expectsReply ? 1 : 0}]`
}

/** Tells whether a datagram belongs to the fact exchange. */
export function isFactDatagram (bytes: Buffer): boolean {
  const start = bytes.toString('latin1', 0, FACTS_PREFIX.length)
  return start === FACTS_PREFIX || start === DIGEST_PREFIX
}

function parseFact (value: unknown): WireFact[] {
  if (!Array.isArray(value)) return []
  const [id, ageMs, ttlMs, content] = value as unknown[]
  if (typeof id !== 'string' || id.length > MAXIMUM_ID_LENGTH || !wire.isNonNegativeNumber(ageMs) || !wire.isNonNegativeNumber(ttlMs)) return []
  return [{ id, ageMs, ttlMs, content }]
}

/** Decodes a datagram of the fact exchange, or returns null if it is malformed. Malformed facts are left out. */
export function decodeFacts (bytes: Buffer): FactMessage | null {
  let parsed: unknown
  try {
    const text = bytes.toString()
    if (types.isNestedDeeper(text, wire.MAXIMUM_NESTING)) return null
    parsed = JSON.parse(text)
  } catch {
    return null
  }
  const [kind, first, count, replyFlag] = parsed as unknown[]
  if (kind === 'f' && Array.isArray(first)) return { type: 'facts', facts: first.flatMap(parseFact) }
  if (kind === 'q' && wire.isNonNegativeNumber(first) && wire.isNonNegativeNumber(count)) return { type: 'digest', hash: first, count, expectsReply: replyFlag === 1 }
  return null
}
